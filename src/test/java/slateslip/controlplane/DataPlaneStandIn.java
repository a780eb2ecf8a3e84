package slateslip.controlplane;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.distribution.DistributionCodec;

/** A data plane's active stream at one control agent; it acknowledges what it gets. */
final class DataPlaneStandIn implements AutoCloseable {
  private static final long PATIENCE_SECONDS = 20;

  private final DistributionCodec encoder = new DistributionCodec();
  private final BlockingQueue<ControlPlaneMessage> received = new LinkedBlockingQueue<>();
  private final Socket socket;
  private long version;
  private long revision = -1;

  DataPlaneStandIn(Socket socket, String node) throws IOException {
    this.socket = socket;
    send(new DataPlaneMessage.Subscribe(node, 1, "z", 0, true));
    Thread reader = new Thread(this::readForEver, "data plane stand-in");
    reader.setDaemon(true);
    reader.start();
  }

  /** The next message that fits; others before it are passed over. */
  ControlPlaneMessage await(Predicate<ControlPlaneMessage> fits) throws InterruptedException {
    while (true) {
      ControlPlaneMessage message = received.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      if (message == null) {
        throw new AssertionError("nothing that fits has come");
      }
      if (fits.test(message)) {
        return message;
      }
    }
  }

  private void readForEver() {
    DistributionCodec decoder = new DistributionCodec();
    try {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      while (true) {
        byte[] message = new byte[input.readInt()];
        input.readFully(message);
        Decoded<ControlPlaneMessage> decoded = decoder.decodeToDataPlane(message);
        take(((Decoded.Message<ControlPlaneMessage>) decoded).value());
      }
    } catch (IOException closed) {
      // the stage closes streams
    }
  }

  private void take(ControlPlaneMessage message) throws IOException {
    if (message instanceof ControlPlaneMessage.ConfigurationSnapshot snapshot) {
      version = snapshot.version();
    } else if (message instanceof ControlPlaneMessage.ConfigurationPatch patch) {
      version = patch.toVersion();
    } else if (message instanceof ControlPlaneMessage.SessionSnapshot snapshot) {
      revision = snapshot.revision();
    } else if (message instanceof ControlPlaneMessage.SessionDelta delta) {
      revision = delta.revision();
    }
    received.add(message);
    send(new DataPlaneMessage.Acknowledge(version, revision));
  }

  synchronized void send(DataPlaneMessage message) throws IOException {
    byte[] bytes = encoder.encode(message);
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.writeInt(bytes.length);
    output.write(bytes);
    output.flush();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
