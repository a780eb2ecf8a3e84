package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.PendingRequest.Attempt;

/** What a request's history permits: another attempt, where, and a refusal. */
final class RetryEligibility {
  /**
   * The part of a keyed request's window in which it may be resent: a late arrival would run again.
   */
  private static final double WINDOW_SURE = 0.75;

  private RetryEligibility() {}

  /**
   * Whether another attempt may be sent, given those before. Danger: an effect twice. Unsafe
   * requests go again only once every attempt provably never ran; keyed ones only inside the window
   * of each that may have run. {@link #inGroups} says where to.
   */
  static boolean maySend(PendingRequest req, Permits permits, long now) {
    Semantics semantics = req.type.semantics();
    boolean sending =
        req.attemptsInFlight() > 0 && !(permits.duplicates() && semantics == Semantics.SAFE);
    if (req.closed || req.streaming || sending) {
      return false;
    }
    // Danger: a repeat that arrives after the window runs again; leave time for the way.
    long window = (long) (WINDOW_SURE * req.type.window());
    return semantics == Semantics.SAFE
        || req.attempts.stream()
            .allMatch(
                attempt ->
                    !attempt.mayHaveRun()
                        || (semantics == Semantics.KEYED && now < attempt.sentAt + window));
  }

  /** Whether a server is in the group of every earlier attempt that may have run. */
  static boolean inGroups(PendingRequest req, Endpoint target) {
    Scope scope = req.type.scope();
    if (req.type.semantics() != Semantics.KEYED || scope == Scope.ALL) {
      return true;
    }
    return req.attempts.stream()
        .allMatch(
            attempt ->
                !attempt.mayHaveRun()
                    || (scope == Scope.ZONE
                        ? attempt.endpoint.listing.zone() == target.listing.zone()
                        : attempt.endpoint.listing.cell() == target.listing.cell()));
  }

  /** A refusal says that trying again is harmless: danger of an effect twice if it is not. */
  static boolean mayRefuse(PendingRequest req) {
    Semantics semantics = req.type.semantics();
    return semantics == Semantics.SAFE
        || req.attempts.stream().noneMatch(Attempt::mayHaveRun)
        || (semantics == Semantics.KEYED && req.type.scope() == Scope.ALL);
  }
}
