package slateslip.loadbalancer.scale;

import java.net.InetSocketAddress;
import slateslip.loadbalancer.net.AgentConfig;

/**
 * Addresses as the protocol writes them; the scale run uses none but those of the loopback
 * interface.
 */
final class Addresses {
  private Addresses() {}

  /** Reads one; IllegalArgumentException if it is no literal loopback address with a port. */
  static InetSocketAddress of(String text) {
    InetSocketAddress address = AgentConfig.address(text);
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("not a loopback address: " + text);
    }
    return address;
  }

  /** Writes one. */
  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * A host of the loopback interface for each number: 127.BLOCK.x.y, so that agents can be told
   * apart.
   *
   * @param block 1 to 254, what it is for
   * @param number 0 to 65,533
   */
  static String host(int block, int number) {
    int last = number + 1;
    return "127." + block + "." + last / 256 + "." + last % 256;
  }
}
