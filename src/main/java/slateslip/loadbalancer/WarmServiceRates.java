package slateslip.loadbalancer;

import java.util.Arrays;

/** What a warm server of each zone answers. It measures; others decide. */
final class WarmServiceRates {
  /** What all agents together take a warm server to answer a second while nothing is known. */
  private static final double UNKNOWN_RATE = 5;

  private final LoadBalancerContext agent;
  private double[] ratePerZone;
  private long[] updatedAt;

  WarmServiceRates(LoadBalancerContext agent) {
    this.agent = agent;
    this.ratePerZone = initialRates();
    this.updatedAt = new long[ratePerZone.length];
  }

  private double[] initialRates() {
    double[] initialRates = new double[agent.settings.zones()];
    Arrays.fill(initialRates, UNKNOWN_RATE / agent.settings.agents());
    return initialRates;
  }

  /**
   * Answers a second from a warm server of the zone, idle ones counted. Danger: counting those in
   * use only, light agents in hundreds each take the rate of the one server they just met for that
   * of all.
   */
  double rate(int zone, long now) {
    if (updatedAt[zone] != now) {
      updatedAt[zone] = now;
      double sum = 0;
      int warmServers = 0;
      for (Endpoint target : agent.listed) {
        boolean warm = target.listing.zone() == zone && target.ready && !target.isWarmingUp(now);
        sum += warm ? LatencyTracker.responseRate(target, now) : 0;
        warmServers += warm ? 1 : 0;
      }
      ratePerZone[zone] =
          sum == 0
              ? ratePerZone[zone]
              : sum / warmServers; // without a warm one the last known holds
    }
    return ratePerZone[zone];
  }

  /** Reckons all as long as there are warm servers: they may leave with the next list. */
  void updateAll(long now) {
    for (int zone = 0; zone < ratePerZone.length; zone++) {
      rate(zone, now);
    }
  }

  /** Whether it knows another number of zones than the settings. */
  boolean zonesDiffer() {
    return ratePerZone.length != agent.settings.zones();
  }

  /** Zones go by their new positions. */
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
