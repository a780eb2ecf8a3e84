package slateslip.simulation.dataplane;

import java.util.Set;
import slateslip.routing.AbortReason;
import slateslip.simulation.dataplane.Violation.Rule;

/** Checks the final responses of a data plane against the rules. */
final class ResponseChecks {
  /** Statuses that guarantee that no backend has executed the request. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  private final DataPlaneWorld world;

  ResponseChecks(DataPlaneWorld world) {
    this.world = world;
  }

  /** Checks a response that the data plane itself generates. */
  void responded(Exchange exchange, int status) {
    if (!exchange.startedAttempts.isEmpty()) {
      world
          .checker()
          .report(
              Rule.ANSWERS,
              exchange.content.attemptId() + " already had a response from a backend");
    }
    if (NOT_EXECUTED_STATUSES.contains(status)) {
      world.checker().guaranteedNotExecuted(exchange.content.attemptId());
    }
  }

  /**
   * Checks an aborted response: before the deadline, a data plane must not abort a response that a
   * running backend only delays.
   */
  void aborted(Exchange exchange, AbortReason reason) {
    BackendCall left = exchange.lastClosedByDataPlane;
    boolean backendRuns =
        left != null && world.control().backend(left.backendId()).runs(left.backendId());
    if (reason != AbortReason.DEADLINE && backendRuns) {
      world
          .checker()
          .report(
              Rule.BROKEN_OFF,
              exchange.content.attemptId() + " was aborted before its deadline: " + reason);
    }
  }
}
