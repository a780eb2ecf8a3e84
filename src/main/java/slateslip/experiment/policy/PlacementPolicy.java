package slateslip.experiment.policy;

/**
 * How a {@link PolicyRouter} picks among the backends of a service. Every backend has a cost in
 * milliseconds; the cheapest of the choices is taken.
 *
 * @param ownZoneOnly whether other zones are used only when the own one has no backend left
 * @param choices how many backends, in the order of rendezvous hashing on the deepest shared part,
 *     are compared; 0 for all
 * @param otherZoneMillis cost of a backend of another zone
 * @param readingWeight weight of the time that it takes to read what the backend has not kept
 * @param assumedCachedTokens at how many of the first choices the shared parts count as kept,
 *     because the other data planes send them there too
 * @param pendingWeight weight of the time that it takes to read the own attempts there that have
 *     not begun their answers
 * @param waitingMillis cost of each own attempt there that has not begun its response
 * @param runningMillis cost of each request running or waiting there, by its last response
 * @param limitFactor a choice is passed over if it has more own attempts than this many times the
 *     mean, plus one; 0 for no bound
 */
public record PlacementPolicy(
    boolean ownZoneOnly,
    int choices,
    double otherZoneMillis,
    double readingWeight,
    int assumedCachedTokens,
    double pendingWeight,
    double waitingMillis,
    double runningMillis,
    double limitFactor) {}
