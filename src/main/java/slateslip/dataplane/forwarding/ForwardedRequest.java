package slateslip.dataplane.forwarding;

import java.util.HashMap;
import java.util.Map;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.backend.BackendAttempt;
import slateslip.dataplane.backend.BackendResponse;
import slateslip.dataplane.ingress.ClientExchange;
import slateslip.dataplane.ingress.ClientRequest;

/**
 * A request in progress: its response is not complete, or at least one of its attempts has not
 * ended.
 */
final class ForwardedRequest {
  /** Value of {@link #lastEventId} while no event with an id has been forwarded. */
  static final long NO_EVENT = -1;

  /** Value of {@link #streamingAttempt} while no attempt streams. */
  static final int NO_ATTEMPT = -1;

  final long id;
  final ClientRequest request;
  final ClientExchange exchange;

  /**
   * Value of {@code X-Attempt-Id} in requests to backends: the client's value, or a generated id if
   * the client sent none.
   */
  final String attemptId;

  /** Attempts that have not ended, by attempt number. */
  final Map<Integer, BackendAttempt> attempts = new HashMap<>();

  /**
   * Error responses by attempt number, kept until the router chooses which of them is relayed to
   * the client.
   */
  final Map<Integer, BackendResponse> failures = new HashMap<>();

  /** Backend and outcome of each attempt, for log lines. */
  final AttemptHistory history = new AttemptHistory();

  /** Times and outcome of this request, for log lines and metrics. */
  final RequestStats stats = new RequestStats(System.nanoTime());

  /** Number of events forwarded to the client. */
  long eventsForwarded;

  /** Id of the last event with an id that was forwarded to the client, or {@link #NO_EVENT}. */
  long lastEventId = NO_EVENT;

  /** Number of the attempt whose events are forwarded to the client, or {@link #NO_ATTEMPT}. */
  int streamingAttempt = NO_ATTEMPT;

  ForwardedRequest(long id, ClientRequest request, ClientExchange exchange, String attemptId) {
    this.id = id;
    this.request = request;
    this.exchange = exchange;
    this.attemptId = attemptId;
  }

  /** Returns the attempt id as decoded text, for log lines. */
  String decodedAttemptId() {
    return HeaderText.decode(attemptId);
  }

  /** Returns whether the response has ended and no attempt is in progress. */
  boolean isDone() {
    return exchange.isEnded() && attempts.isEmpty();
  }
}
