package slateslip.dataplane.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateslip.routing.RouterInput.AttemptOutcome;

/** Idle connections and connecting attempts of one incarnation of a backend at one address. */
final class BackendPool {
  final String backendId;
  final String service;
  final InetSocketAddress address;

  /**
   * Idle connections, most recently used first: connections that are not needed stay at the end
   * until they expire and are closed.
   */
  private final Deque<BackendConnection> idle = new ArrayDeque<>();

  /** Attempts that wait for a connection to be established. */
  private final Set<BackendAttempt> connectingAttempts = new HashSet<>();

  /** Number of connections that are established or being established. */
  int connections;

  private boolean retired;

  BackendPool(String backendId, String service, InetSocketAddress address) {
    this.backendId = backendId;
    this.service = service;
    this.address = address;
  }

  /** Returns whether no new request may be sent to this backend. */
  boolean isRetired() {
    return retired;
  }

  /**
   * Removes and returns the most recently used idle connection that is open, has no unread bytes
   * and has not expired, or returns null if there is none.
   */
  BackendConnection takeIdle(long learnedLimitNanos) {
    while (!idle.isEmpty()) {
      BackendConnection connection = idle.pollFirst();
      if (!connection.isExpired(learnedLimitNanos) && connection.channel.isIdle()) {
        return connection;
      }
      connection.channel.close();
    }
    return null;
  }

  void release(BackendConnection connection) {
    connection.markIdle();
    if (retired) {
      connection.channel.close();
    } else {
      idle.addFirst(connection);
    }
  }

  void removeIdle(BackendConnection connection) {
    idle.remove(connection);
  }

  void connectStarted(BackendAttempt attempt) {
    connectingAttempts.add(attempt);
  }

  void connectEnded(BackendAttempt attempt) {
    connectingAttempts.remove(attempt);
  }

  void closeExpired(long learnedLimitNanos) {
    while (!idle.isEmpty() && idle.peekLast().isExpired(learnedLimitNanos)) {
      idle.pollLast().channel.close();
    }
  }

  /**
   * Returns the connection that has been idle for the longest time, or null if no connection is
   * idle.
   */
  BackendConnection longestIdle() {
    return idle.peekLast();
  }

  /**
   * Retires this pool: no new request is sent to the backend, attempts without a connection end as
   * not sent, and idle connections are closed. Attempts that have started to write their request
   * continue.
   */
  void retire() {
    retired = true;
    for (BackendAttempt attempt : List.copyOf(connectingAttempts)) {
      attempt.end(AttemptResult.withoutResponse(AttemptOutcome.Kind.NOT_SENT), false);
    }
    while (!idle.isEmpty()) {
      idle.pollFirst().channel.close();
    }
  }
}
