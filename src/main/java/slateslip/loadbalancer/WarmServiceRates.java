package slateslip.loadbalancer;

import java.util.Arrays;

/** Measures the response rate of a warm server in each zone. */
final class WarmServiceRates {
  /**
   * Assumed responses per second of a warm server to all agents together, until a rate is measured.
   */
  private static final double INITIAL_TOTAL_RATE = 5;

  private final LoadBalancerContext context;
  private double[] ratePerZone;
  private long[] updatedAt;

  WarmServiceRates(LoadBalancerContext context) {
    this.context = context;
    this.ratePerZone = initialRates();
    this.updatedAt = new long[ratePerZone.length];
  }

  private double[] initialRates() {
    double[] initialRates = new double[context.settings.zones()];
    Arrays.fill(initialRates, INITIAL_TOTAL_RATE / context.settings.agents());
    return initialRates;
  }

  /**
   * Returns the mean responses per second to this agent from a warm server of the zone, including
   * idle servers. If only servers in use counted, each of hundreds of lightly loaded agents would
   * take the rate of the one server it has just used for the rate of all.
   */
  double rate(int zone, long now) {
    if (updatedAt[zone] != now) {
      updatedAt[zone] = now;
      double sum = 0;
      int warmServers = 0;
      for (Endpoint target : context.listed) {
        boolean warm = target.listing.zone() == zone && target.ready && !target.isWarmingUp(now);
        sum += warm ? LatencyTracker.responseRate(target, now) : 0;
        warmServers += warm ? 1 : 0;
      }
      ratePerZone[zone] =
          sum == 0
              ? ratePerZone[zone]
              : sum / warmServers; // if no server is warm, the last rate stays
    }
    return ratePerZone[zone];
  }

  /**
   * Updates the rates of all zones while their warm servers are still listed: the next list may
   * remove the servers.
   */
  void updateAll(long now) {
    for (int zone = 0; zone < ratePerZone.length; zone++) {
      rate(zone, now);
    }
  }

  /** Returns whether the number of zones differs from that in the settings. */
  boolean zoneCountDiffers() {
    return ratePerZone.length != context.settings.zones();
  }

  /** Moves each zone's rate to the new position of the zone. */
  void remapZones(SettingsReload next) {
    double[] moved = initialRates();
    for (int zone = 0; zone < ratePerZone.length; zone++) {
      if (next.zones().get(zone) >= 0) {
        moved[next.zones().get(zone)] = ratePerZone[zone];
      }
    }
    ratePerZone = moved;
    updatedAt = new long[moved.length];
  }
}
