package slateslip.loadbalancer.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * What is kept for one server at one address, from its first line as ready until it drains or goes.
 */
final class BackendPool {
  final InetSocketAddress address;
  final long reuseDelayNanos;

  /** Most recently used first: what is not needed grows old and is closed. */
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
