package slateslip.loadbalancer.scale;

import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;

/**
 * Tells whether an agent's list is discovery's, however it came to it: the sum of a number for each
 * entry, so that it follows each changed entry at once and the order does not matter.
 */
final class Fingerprint {
  private Fingerprint() {}

  /** Of one entry; 0 for none. Its address is left out, for it may vary from agent to agent. */
  static long of(Server server) {
    if (server == null) {
      return 0;
    }
    long mixed = mix(server.id() + number(server.phase()));
    mixed = mix(mixed + server.startedAt());
    return mix(mixed + Double.doubleToLongBits(server.weight()));
  }

  /** A number for each phase; agents of one run compare them, so that they only have to differ. */
  private static int number(Phase phase) {
    return switch (phase) {
      case READY -> 0;
      case DRAINING -> 1;
      case GONE -> 2;
    };
  }

  /** Of a whole list. */
  static long of(Iterable<Server> servers) {
    long sum = 0;
    for (Server server : servers) {
      sum += of(server);
    }
    return sum;
  }

  private static long mix(long z) {
    z = (z + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 29) * 0x94d049bb133111ebL;
    return z ^ z >>> 32;
  }
}
