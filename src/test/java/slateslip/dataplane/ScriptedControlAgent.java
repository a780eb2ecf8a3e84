package slateslip.dataplane;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.protocol.Decoded;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * A control agent on a loopback port: a heartbeat for each message, and the script's messages to an
 * active stream.
 */
final class ScriptedControlAgent implements Closeable {
  /** What every data plane has said, in order. */
  final List<DataPlaneMessage> heard = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<ControlPlaneMessage> whenActive;

  ScriptedControlAgent(List<ControlPlaneMessage> whenActive) throws IOException {
    this.whenActive = whenActive;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    ScriptedPeer.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            sockets.add(socket);
            ScriptedPeer.daemon(() -> read(socket));
          }
        });
  }

  int port() {
    return listener.getLocalPort();
  }

  private void read(Socket socket) throws IOException {
    DistributionCodec codec = new DistributionCodec();
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (true) {
      byte[] frame = new byte[in.readInt()];
      in.readFully(frame);
      Decoded<DataPlaneMessage> decoded = codec.decodeToControl(frame);
      DataPlaneMessage message = ((Decoded.Message<DataPlaneMessage>) decoded).value();
      heard.add(message);
      send(socket, new ControlPlaneMessage.Heartbeat(true, 5, 1, List.of("127.0.0.1")));
      if (message instanceof DataPlaneMessage.Subscribe subscribe && subscribe.active()) {
        for (ControlPlaneMessage response : whenActive) {
          send(socket, response);
        }
      }
    }
  }

  private static void send(Socket socket, ControlPlaneMessage message) throws IOException {
    byte[] frame = new DistributionCodec().encode(message);
    synchronized (socket) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(frame.length);
      out.write(frame);
      out.flush();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
