package slateslip.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Addresses on which the processes of a local fleet listen. Each simulated machine has its own
 * loopback address, and all machines use the same ports.
 *
 * @param front port of the data planes for client requests
 * @param ready port of the data planes for readiness checks and metrics
 * @param control port of the control agents for backends and operators
 * @param internal port for connections between agents
 * @param backend port on which the backends listen
 */
record FleetAddresses(int front, int ready, int control, int internal, int backend) {
  static final int CONTROL_AGENTS = 3;
  static final int DATA_PLANES = 2;

  private static final String CONTROL_NETWORK = "127.0.0.";
  private static final String DATA_PLANE_NETWORK = "127.0.1.";
  private static final String BACKEND_NETWORK = "127.0.2.";

  /**
   * Returns addresses with the given client port and with free ports for everything else. If the
   * given port is 0, a free port is used for clients too.
   */
  static FleetAddresses withFront(int front) throws IOException {
    return new FleetAddresses(
        front == 0 ? freePort() : front, freePort(), freePort(), freePort(), freePort());
  }

  private static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return probe.getLocalPort();
    }
  }

  String controlAgent(int index) {
    return CONTROL_NETWORK + (index + 1);
  }

  String dataPlane(int index) {
    return DATA_PLANE_NETWORK + (index + 1);
  }

  InetSocketAddress backend(int index) {
    return new InetSocketAddress(BACKEND_NETWORK + (index + 1), backend);
  }

  List<String> controlAddresses() {
    return IntStream.range(0, CONTROL_AGENTS)
        .mapToObj(index -> controlAgent(index) + ":" + control)
        .toList();
  }

  String frontUrl(int index) {
    return "http://" + dataPlane(index) + ":" + front;
  }

  String readyUrl(int index) {
    return "http://" + dataPlane(index) + ":" + ready + "/ready";
  }
}
