package slateslip.loadbalancer;

import java.util.Collection;
import java.util.function.Predicate;

/** Formats the periodic log line about queued requests: the state and capacity of the servers. */
final class QueueReport {
  /** Minimum interval between two log lines, in microseconds. */
  private static final long PERIOD = 5_000_000;

  private long loggedAt;

  /** Returns whether a log line is due; if so, the next line is due after another interval. */
  boolean due(long now) {
    if (now - loggedAt < PERIOD) {
      return false;
    }
    loggedAt = now;
    return true;
  }

  /**
   * Returns the log line.
   *
   * @param queued number of requests queued for lack of capacity
   * @param available whether the health of a server permits requests
   */
  static String line(
      long now,
      long queued,
      Collection<Endpoint> listed,
      int ownZone,
      Predicate<Endpoint> available) {
    String own = capacity(now, listed, each -> each.listing.zone() == ownZone, available);
    String others = capacity(now, listed, each -> each.listing.zone() != ownZone, available);
    return "waiting: " + queued + "; own zone " + own + "; others " + others;
  }

  private static String capacity(
      long now,
      Collection<Endpoint> listed,
      Predicate<Endpoint> where,
      Predicate<Endpoint> available) {
    int ready = 0;
    int unhealthy = 0;
    int warmingUp = 0;
    int backingOff = 0;
    int inFlight = 0;
    double limits = 0;
    for (Endpoint target : listed) {
      if (target.ready && where.test(target)) {
        ready++;
        unhealthy += available.test(target) ? 0 : 1;
        warmingUp += target.isWarmingUp(now) ? 1 : 0;
        backingOff += now < target.backoffUntil ? 1 : 0;
        inFlight += target.inFlight;
        limits += target.limit;
      }
    }
    return inFlight
        + " out of "
        + Math.round(limits)
        + " at "
        + ready
        + " ready ("
        + unhealthy
        + " unhealthy, "
        + warmingUp
        + " starting, "
        + backingOff
        + " resting)";
  }
}
