package slateslip.loadbalancer;

import java.util.Arrays;

/** What a warm server of each zone answers. It measures; others decide. */
final class WarmServiceRates {
  /** What all agents together take a warm server to answer a second while nothing is known. */
  private static final double COLD_RATE_BLIND = 5;

  private final LoadBalancerContext agent;
  private double[] rates;
  private long[] reckonedAt;

  WarmServiceRates(LoadBalancerContext agent) {
    this.agent = agent;
    this.rates = blind();
    this.reckonedAt = new long[rates.length];
  }

  private double[] blind() {
    double[] blind = new double[agent.settings.zones()];
    Arrays.fill(blind, COLD_RATE_BLIND / agent.settings.agents());
    return blind;
  }

  /**
   * Answers a second from a warm server of the zone, idle ones counted. Danger: counting those in
   * use only, light agents in hundreds each take the rate of the one server they just met for that
   * of all.
   */
  double of(int zone, long now) {
    if (reckonedAt[zone] != now) {
      reckonedAt[zone] = now;
      double sum = 0;
      int n = 0;
      for (Endpoint target : agent.listed) {
        boolean warm = target.listed.zone() == zone && target.ready && !target.cold(now);
        sum += warm ? LatencyTracker.rate(target, now) : 0;
        n += warm ? 1 : 0;
      }
      rates[zone] = sum == 0 ? rates[zone] : sum / n; // without a warm one the last known holds
    }
    return rates[zone];
  }

  /** Reckons all as long as there are warm servers: they may leave with the next list. */
  void reckon(long now) {
    for (int zone = 0; zone < rates.length; zone++) {
      of(zone, now);
    }
  }

  /** Whether it knows another number of zones than the settings. */
  boolean zonesDiffer() {
    return rates.length != agent.settings.zones();
  }

  /** Zones go by their new positions. */
  void moveZones(SettingsReload next) {
    double[] moved = blind();
    for (int zone = 0; zone < rates.length; zone++) {
      if (next.zones().get(zone) >= 0) {
        moved[next.zones().get(zone)] = rates[zone];
      }
    }
    rates = moved;
    reckonedAt = new long[moved.length];
  }
}
