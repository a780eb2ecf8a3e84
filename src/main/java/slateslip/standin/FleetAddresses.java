package slateslip.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Where the parts of a local fleet listen: each machine has a loopback address of its own, and
 * ports are the same on all of them.
 *
 * @param front port for clients
 * @param ready port for readiness
 * @param control port for backends and the operator
 * @param internal port between agents
 * @param backend port of backends
 */
record FleetAddresses(int front, int ready, int control, int internal, int backend) {
  static final int CONTROL_AGENTS = 3;
  static final int DATA_PLANES = 2;

  private static final String CONTROL_NETWORK = "127.0.0.";
  private static final String DATA_PLANE_NETWORK = "127.0.1.";
  private static final String BACKEND_NETWORK = "127.0.2.";

  /** The given port for clients, and free ports for all else. */
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
