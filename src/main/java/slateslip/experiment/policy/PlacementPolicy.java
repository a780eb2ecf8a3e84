package slateslip.experiment.policy;

/**
 * Parameters by which a {@link PolicyRouter} selects a backend of a service. The router computes a
 * cost in milliseconds for each candidate backend and selects the candidate with the lowest cost.
 *
 * @param ownZoneOnly whether the router uses backends of other zones only if its own zone has no
 *     eligible backend left
 * @param choices number of candidates, taken in the order of rendezvous hashing on the last shared
 *     part of the prompt; 0 makes all backends candidates
 * @param otherZoneMillis additional cost of a backend in another zone, in milliseconds
 * @param prefillWeight weight of the time that the backend takes to process the uncached part of
 *     the prompt
 * @param assumedCachedBackends number of backends, in the order of rendezvous hashing, on which the
 *     shared parts of the prompt are assumed to be cached because the other data planes send
 *     requests with these parts to the same backends
 * @param pendingWeight weight of the time that the backend takes to process the prompts of this
 *     router's attempts whose responses have not started
 * @param waitingMillis cost of each attempt of this router on the backend whose response has not
 *     started, in milliseconds
 * @param runningMillis cost of each request that runs or waits on the backend, in milliseconds; the
 *     number of requests is the larger of the load in the backend's last response and this router's
 *     attempts in flight
 * @param limitFactor a backend is not a candidate if this router has more attempts in flight there
 *     than this factor times the mean over the eligible backends, plus one; 0 disables the limit.
 *     If the limit excludes all backends, the first one in the order of rendezvous hashing is
 *     selected.
 */
public record PlacementPolicy(
    boolean ownZoneOnly,
    int choices,
    double otherZoneMillis,
    double prefillWeight,
    int assumedCachedBackends,
    double pendingWeight,
    double waitingMillis,
    double runningMillis,
    double limitFactor) {}
