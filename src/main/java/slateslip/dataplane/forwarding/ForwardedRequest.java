package slateslip.dataplane.forwarding;

import java.util.HashMap;
import java.util.Map;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.backend.BackendAttempt;
import slateslip.dataplane.backend.BackendResponse;
import slateslip.dataplane.ingress.ClientExchange;
import slateslip.dataplane.ingress.ClientRequest;

/** A request that is under way: its response is owed, or an attempt of it has not ended. */
final class ForwardedRequest {
  /** Of {@link #lastEventId} while no event was passed on. */
  static final long NO_EVENT = -1;

  /** Of {@link #streamingAttempt} while no attempt streams. */
  static final int NO_ATTEMPT = -1;

  final long id;
  final ClientRequest request;
  final ClientExchange exchange;

  /** {@code X-Attempt-Id} that backends get: the client's, or one drawn here if it sent none. */
  final String attemptId;

  /** Attempts that have not ended. */
  final Map<Integer, BackendAttempt> attempts = new HashMap<>();

  /** Failure answers, kept until the router says which to pass on. */
  final Map<Integer, BackendResponse> failures = new HashMap<>();

  /** What became of its attempts. */
  final AttemptHistory history = new AttemptHistory();

  /** Its times, and how it ended. */
  final RequestAccount account = new RequestAccount(System.nanoTime());

  /** How many events were passed on. */
  long eventsPassed;

  /** Id of the last event that was passed on. */
  long lastEventId = NO_EVENT;

  /** The attempt whose events are passed on. */
  int streamingAttempt = NO_ATTEMPT;

  ForwardedRequest(long id, ClientRequest request, ClientExchange exchange, String attemptId) {
    this.id = id;
    this.request = request;
    this.exchange = exchange;
    this.attemptId = attemptId;
  }

  /** Its id as text, for the log. */
  String attemptIdText() {
    return HeaderText.decode(attemptId);
  }

  /** Whether nothing is owed and nothing is under way. */
  boolean isDone() {
    return exchange.isEnded() && attempts.isEmpty();
  }
}
