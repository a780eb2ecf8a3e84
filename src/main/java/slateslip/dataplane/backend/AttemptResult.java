package slateslip.dataplane.backend;

import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * How an attempt ended.
 *
 * @param outcome for the router
 * @param load that the backend told; null if none
 * @param response whole answer of a success that is no stream, or of a failure; null otherwise
 * @param sentBytes how much of the request had left when it ended
 */
public record AttemptResult(
    AttemptOutcome outcome, BackendLoad load, BackendResponse response, SentBytes sentBytes) {
  AttemptResult(AttemptOutcome outcome, BackendLoad load, BackendResponse response) {
    this(outcome, load, response, SentBytes.NONE);
  }

  static AttemptResult without(AttemptOutcome.Kind kind) {
    return new AttemptResult(new AttemptOutcome(kind, 0), null, null);
  }

  AttemptResult with(SentBytes bytes) {
    return new AttemptResult(outcome, load, response, bytes);
  }
}
