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

/**
 * Simulates a data plane with an active stream at one control agent; acknowledges the newest
 * configuration version and session revision after each message.
 */
final class FakeDataPlane implements AutoCloseable {
  private static final long RECEIVE_TIMEOUT_SECONDS = 20;

  private final DistributionCodec encoder = new DistributionCodec();
  private final BlockingQueue<ControlPlaneMessage> received = new LinkedBlockingQueue<>();
  private final Socket socket;
  private long version;
  private long revision = -1;

  FakeDataPlane(Socket socket, String node) throws IOException {
    this.socket = socket;
    send(new DataPlaneMessage.Subscribe(node, 1, "z", 0, true));
    Thread reader = new Thread(this::readUntilClosed, "fake data plane");
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Returns the next message that matches; earlier messages are discarded. Throws an assertion
   * error if no message matches in time.
   */
  ControlPlaneMessage await(Predicate<ControlPlaneMessage> condition) throws InterruptedException {
    while (true) {
      ControlPlaneMessage message = received.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (message == null) {
        throw new AssertionError("no matching message arrived before the timeout");
      }
      if (condition.test(message)) {
        return message;
      }
    }
  }

  private void readUntilClosed() {
    DistributionCodec decoder = new DistributionCodec();
    try {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      while (true) {
        byte[] message = new byte[input.readInt()];
        input.readFully(message);
        Decoded<ControlPlaneMessage> decoded = decoder.decodeToDataPlane(message);
        handle(((Decoded.Message<ControlPlaneMessage>) decoded).value());
      }
    } catch (IOException closed) {
      // the test or the agent has closed the connection
    }
  }

  private void handle(ControlPlaneMessage message) throws IOException {
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
