package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** One request that an agent has accepted; the decisions are made elsewhere. */
final class PendingRequest {
  final Request request;
  final RequestClassState state;

  /** The request's class at its arrival, with the strictest retry rules of all settings since. */
  RequestClass type;

  /** Token of the request's timer. */
  final long token;

  final long arrivedAt;

  /**
   * Time after which a response has no value, at the latest the client's deadline; in microseconds.
   */
  final long endAt;

  final List<Attempt> attempts = new ArrayList<>(1);
  boolean closed;
  boolean queued;
  boolean streaming;

  /** Whether the request was sent to every server that is permitted for the request. */
  boolean mayRevisit;

  PendingRequest(Request request, RequestClassState state, long token, long arrivedAt, long endAt) {
    this.request = request;
    this.state = state;
    this.type = state.type;
    this.token = token;
    this.arrivedAt = arrivedAt;
    this.endAt = endAt;
  }

  /** One attempt; the outcome is null while the attempt is in flight. */
  static final class Attempt {
    final Endpoint endpoint;
    final long sentAt;
    Outcome outcome;

    Attempt(Endpoint endpoint, long sentAt) {
      this.endpoint = endpoint;
      this.sentAt = sentAt;
    }

    boolean mayHaveRun() {
      return outcome == null || !outcome.neverRan();
    }
  }

  /** Returns the number of attempts in flight. */
  int attemptsInFlight() {
    int attemptsInFlight = 0;
    for (Attempt attempt : attempts) {
      attemptsInFlight += attempt.outcome == null ? 1 : 0;
    }
    return attemptsInFlight;
  }

  boolean wasSentTo(Endpoint endpoint) {
    return attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
  }

  /**
   * Returns whether the request must not be sent to a server again. If {@link #mayRevisit} is set,
   * a server that could not be reached is permitted again.
   */
  boolean isExcluded(Endpoint endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint == endpoint
          && (!mayRevisit || attempt.outcome != Outcome.CONNECT_FAILED)) {
        return true;
      }
    }
    return false;
  }
}
