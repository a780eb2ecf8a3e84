package slateslip.loadbalancer.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The connections to one backend at one address. The pool exists from the first entry that lists
 * the backend as ready until the backend drains, leaves or moves.
 */
final class BackendPool {
  final InetSocketAddress address;
  final long reuseDelayNanos;

  /**
   * Idle connections, the most recently used first. Connections at the end become too old and are
   * closed if they are not needed.
   */
  final Deque<BackendConnection> idle = new ArrayDeque<>();

  final Set<BackendAttempt> connecting = new HashSet<>();
  boolean retired;

  BackendPool(InetSocketAddress address, long reuseDelayNanos) {
    this.address = address;
    this.reuseDelayNanos = reuseDelayNanos;
  }

  void closeIdle() {
    while (!idle.isEmpty()) {
      idle.pollFirst().channel().close();
    }
  }
}
