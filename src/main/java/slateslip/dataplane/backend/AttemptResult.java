package slateslip.dataplane.backend;

import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * How an attempt ended.
 *
 * @param outcome for the router
 * @param load that the backend told; null if none
 * @param response whole answer of a success that is no stream, or of a failure; null otherwise
 */
public record AttemptResult(AttemptOutcome outcome, BackendLoad load, BackendResponse response) {
  static AttemptResult without(AttemptOutcome.Kind kind) {
    return new AttemptResult(new AttemptOutcome(kind, 0), null, null);
  }
}
