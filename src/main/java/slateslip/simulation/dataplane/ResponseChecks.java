package slateslip.simulation.dataplane;

import java.util.Set;
import slateslip.routing.AbortReason;
import slateslip.simulation.dataplane.Violation.Rule;

/** Holds the final responses of a data plane against the rules. */
final class ResponseChecks {
  /** Statuses that promise that a request has not run. */
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private final DataPlaneWorld world;

  ResponseChecks(DataPlaneWorld world) {
    this.world = world;
  }

  /** A response of the data plane's own is given. */
  void responded(Exchange exchange, int status) {
    if (!exchange.started.isEmpty()) {
      world.checker().broken(Rule.ANSWERS, exchange.content.attemptId() + " was begun");
    }
    if (PROMISES.contains(status)) {
      world.checker().promised(exchange.content.attemptId());
    }
  }

  /** A response is cut: a backend's silence is no reason for that before its time is up. */
  void brokenOff(Exchange exchange, AbortReason reason) {
    BackendCall left = exchange.lastLeft;
    boolean backendRuns =
        left != null && world.control().backend(left.backendId()).runs(left.backendId());
    if (reason != AbortReason.DEADLINE && backendRuns) {
      world.checker().broken(Rule.BROKEN_OFF, exchange.content.attemptId() + " for " + reason);
    }
  }
}
