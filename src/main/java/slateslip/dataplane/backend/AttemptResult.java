package slateslip.dataplane.backend;

import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Result of an attempt at a backend.
 *
 * @param outcome outcome that is reported to the router
 * @param load load that the backend reported, or null if none
 * @param response complete response; null for a stream and if no complete response arrived
 * @param sentBytes bytes of the request that the connection had taken when the attempt ended
 */
public record AttemptResult(
    AttemptOutcome outcome, BackendLoad load, BackendResponse response, SentBytes sentBytes) {
  AttemptResult(AttemptOutcome outcome, BackendLoad load, BackendResponse response) {
    this(outcome, load, response, SentBytes.NONE);
  }

  static AttemptResult withoutResponse(AttemptOutcome.Kind kind) {
    return new AttemptResult(new AttemptOutcome(kind, 0), null, null);
  }

  AttemptResult withSentBytes(SentBytes bytes) {
    return new AttemptResult(outcome, load, response, bytes);
  }
}
