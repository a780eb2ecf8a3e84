package slateslip.loadbalancer;

import java.util.Collection;
import java.util.function.Predicate;

/** Tells on-call staff, now and then, what stands between the requests held and the servers. */
final class QueueReport {
  /** How often it is told why requests wait, in microseconds. */
  private static final long PERIOD = 5_000_000;

  private long toldAt;

  /** Whether enough time has passed since the last line; then this one counts as told. */
  boolean due(long now) {
    if (now - toldAt < PERIOD) {
      return false;
    }
    toldAt = now;
    return true;
  }

  /**
   * The line for the log.
   *
   * @param held requests held for want of room
   * @param available whether a server may get requests by its health
   */
  static String line(
      long now,
      long held,
      Collection<Endpoint> listed,
      int ownZone,
      Predicate<Endpoint> available) {
    String own = room(now, listed, each -> each.listed.zone() == ownZone, available);
    String others = room(now, listed, each -> each.listed.zone() != ownZone, available);
    return "waiting: " + held + "; own zone " + own + "; others " + others;
  }

  private static String room(
      long now,
      Collection<Endpoint> listed,
      Predicate<Endpoint> where,
      Predicate<Endpoint> available) {
    int ready = 0;
    int unhealthy = 0;
    int cold = 0;
    int resting = 0;
    int used = 0;
    double limits = 0;
    for (Endpoint target : listed) {
      if (target.ready && where.test(target)) {
        ready++;
        unhealthy += available.test(target) ? 0 : 1;
        cold += target.cold(now) ? 1 : 0;
        resting += now < target.restUntil ? 1 : 0;
        used += target.inFlight;
        limits += target.limit;
      }
    }
    return used
        + " out of "
        + Math.round(limits)
        + " at "
        + ready
        + " ready ("
        + unhealthy
        + " unhealthy, "
        + cold
        + " starting, "
        + resting
        + " resting)";
  }
}
