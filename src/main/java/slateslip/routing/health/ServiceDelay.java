package slateslip.routing.health;

import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * How much later than expected the backends of a service answer at present, as far as this data
 * plane has measured. Where all of them are late, one that is late is busy rather than dead: its
 * probes wait for a slot, too. Times are in microseconds.
 */
public final class ServiceDelay {
  private final double decayMicros;
  private final double weight;
  private double delayMicros;
  private long measuredMicros;

  /** Of a service of which nothing was measured. */
  public ServiceDelay(RoutingPolicy policy) {
    decayMicros = (double) policy.micros(RoutingParameter.SERVICE_DELAY_DECAY_MILLIS);
    weight = policy.value(RoutingParameter.SERVICE_DELAY_WEIGHT);
  }

  /** A response began by this much later than expected; 0 if it was in time. */
  public void measured(long nowMicros, long lateMicros) {
    double current = micros(nowMicros);
    delayMicros = current + weight * (lateMicros - current);
    measuredMicros = nowMicros;
  }

  /** The delay to be expected now; it fades while nothing is measured. */
  public long micros(long nowMicros) {
    return (long) (delayMicros * Math.exp((measuredMicros - nowMicros) / decayMicros));
  }
}
