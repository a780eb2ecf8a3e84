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
 * A control agent on a loopback port. The agent responds to each message with a heartbeat, and to a
 * subscription as active agent also with the scripted messages.
 */
final class ScriptedControlAgent implements Closeable {
  /** The messages of all data planes in the order of their arrival. */
  final List<DataPlaneMessage> received = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<ControlPlaneMessage> activeStreamMessages;

  ScriptedControlAgent(List<ControlPlaneMessage> activeStreamMessages) throws IOException {
    this.activeStreamMessages = activeStreamMessages;
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
      received.add(message);
      send(socket, new ControlPlaneMessage.Heartbeat(true, 5, 1, List.of("127.0.0.1")));
      if (message instanceof DataPlaneMessage.Subscribe subscribe && subscribe.active()) {
        for (ControlPlaneMessage response : activeStreamMessages) {
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
