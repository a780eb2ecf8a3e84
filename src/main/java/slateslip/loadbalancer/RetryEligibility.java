package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.PendingRequest.Attempt;

/** Decides by a request's earlier attempts whether and where to retry, and whether to refuse. */
final class RetryEligibility {
  /**
   * Part of a keyed request's deduplication window in which a repeat may be sent: a repeat that
   * arrives after the window would run again.
   */
  private static final double SAFE_WINDOW_FRACTION = 0.75;

  private RetryEligibility() {}

  /**
   * Returns whether another attempt may be sent without the risk of a second effect. Unsafe
   * requests are retried only if no earlier attempt can have run, keyed requests only inside the
   * deduplication window of each attempt that may have run. {@link #inDeduplicationScope} restricts
   * the servers.
   */
  static boolean maySend(PendingRequest req, Permits permits, long now) {
    Semantics semantics = req.type.semantics();
    boolean sending =
        req.attemptsInFlight() > 0 && !(permits.duplicates() && semantics == Semantics.SAFE);
    if (req.closed || req.streaming || sending) {
      return false;
    }
    // The unused rest of the window is for the transfer of the repeat to the server.
    long window = (long) (SAFE_WINDOW_FRACTION * req.type.window());
    return semantics == Semantics.SAFE
        || req.attempts.stream()
            .allMatch(
                attempt ->
                    !attempt.mayHaveRun()
                        || (semantics == Semantics.KEYED && now < attempt.sentAt + window));
  }

  /** Returns whether a server drops repeats of each earlier attempt that may have run. */
  static boolean inDeduplicationScope(PendingRequest req, Endpoint target) {
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

  /** Returns whether a client's retry, which a refusal invites, cannot cause a second effect. */
  static boolean mayRefuse(PendingRequest req) {
    Semantics semantics = req.type.semantics();
    return semantics == Semantics.SAFE
        || req.attempts.stream().noneMatch(Attempt::mayHaveRun)
        || (semantics == Semantics.KEYED && req.type.scope() == Scope.ALL);
  }
}
