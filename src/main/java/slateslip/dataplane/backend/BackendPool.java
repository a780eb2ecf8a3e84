package slateslip.dataplane.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateslip.routing.RouterInput.AttemptOutcome;

/** What is kept for one incarnation of a backend at one address. */
final class BackendPool {
  final String backendId;
  final String service;
  final InetSocketAddress address;

  /** Most recently used first: what is not needed grows old and is closed. */
  private final Deque<BackendConnection> idle = new ArrayDeque<>();

  /** Attempts whose connection is not up yet. */
  private final Set<BackendAttempt> connecting = new HashSet<>();

  /** Connections that are up or being dialled. */
  int connections;

  private boolean retired;

  BackendPool(String backendId, String service, InetSocketAddress address) {
    this.backendId = backendId;
    this.service = service;
    this.address = address;
  }

  /** Whether nothing new may be written to this backend. */
  boolean isRetired() {
    return retired;
  }

  /**
   * Takes the most recently used connection that is open, has nothing to read and is not old; null
   * if there is none.
   */
  BackendConnection take(long learntLimitNanos) {
    while (!idle.isEmpty()) {
      BackendConnection connection = idle.pollFirst();
      if (!connection.isOld(learntLimitNanos) && connection.channel.isIdle()) {
        return connection;
      }
      connection.channel.close();
    }
    return null;
  }

  void keep(BackendConnection connection) {
    connection.rest();
    if (retired) {
      connection.channel.close();
    } else {
      idle.addFirst(connection);
    }
  }

  void forget(BackendConnection connection) {
    idle.remove(connection);
  }

  void connecting(BackendAttempt attempt) {
    connecting.add(attempt);
  }

  void connected(BackendAttempt attempt) {
    connecting.remove(attempt);
  }

  void closeOld(long learntLimitNanos) {
    while (!idle.isEmpty() && idle.peekLast().isOld(learntLimitNanos)) {
      idle.pollLast().channel.close();
    }
  }

  /** The connection that has been idle for longest; null if none is. */
  BackendConnection longestIdle() {
    return idle.peekLast();
  }

  /** Nothing new goes to this backend; attempts that have been written go on. */
  void retire() {
    retired = true;
    for (BackendAttempt attempt : List.copyOf(connecting)) {
      attempt.end(AttemptResult.without(AttemptOutcome.Kind.NOT_SENT), false);
    }
    while (!idle.isEmpty()) {
      idle.pollFirst().channel.close();
    }
  }
}
