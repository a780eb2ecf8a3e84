package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the properties of the scripted peer on which other tests rely. */
class ScriptedPeerTest {
  private static final int PEERS = 2_000;

  /** Tests use the port of a closed peer as a port on which nobody listens. */
  @Test
  void closedPeerAcceptsNoConnection() throws IOException {
    List<Socket> accepted = new ArrayList<>();
    for (int i = 0; i < PEERS; i++) {
      ScriptedPeer peer = new ScriptedPeer((message, socket) -> {});
      int port = peer.listener.getLocalPort();
      peer.close();
      tryToConnect(port);
      accepted.addAll(peer.sockets);
    }
    assertEquals(List.of(), accepted);
  }

  private static void tryToConnect(int port) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(0);
    } catch (IOException refused) {
      // The connection is expected to fail.
    }
  }
}
