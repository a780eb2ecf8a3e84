package slateslip.standin;

import java.net.InetSocketAddress;

/**
 * Data that a backend sends to the control agents when it registers.
 *
 * @param id id of this incarnation of the backend
 * @param service name of the service that the backend belongs to
 * @param address address on which the backend listens
 * @param zone zone of the backend
 * @param slots number of requests that the backend processes concurrently
 */
public record BackendDescription(
    String id, String service, InetSocketAddress address, String zone, int slots) {
  /** Returns the address in the form {@code ip:port} that a registration contains. */
  public String addressText() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
