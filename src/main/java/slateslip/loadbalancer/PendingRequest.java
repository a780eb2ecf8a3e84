package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** One request that an agent has taken. State only; others decide. */
final class PendingRequest {
  final Request request;
  final RequestClassState state;

  /** Its class as it was taken, and no laxer on repeats than any settings since. */
  RequestClass type;

  /** Names its timer. */
  final long token;

  final long arrivedAt;

  /** When there is nothing left to win, at the latest when the client gives up. */
  final long endAt;

  final List<Attempt> attempts = new ArrayList<>(1);
  boolean closed;
  boolean queued;
  boolean streaming;

  /** Whether it has been to every server that it may go to. */
  boolean mayRevisit;

  PendingRequest(Request request, RequestClassState state, long token, long arrivedAt, long endAt) {
    this.request = request;
    this.state = state;
    this.type = state.type;
    this.token = token;
    this.arrivedAt = arrivedAt;
    this.endAt = endAt;
  }

  /** One attempt; its outcome is null while it is out. */
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

  /** How many attempts are out. */
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
   * Whether it is not to go there again: where it may return, one that was not reached is open to
   * it.
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
