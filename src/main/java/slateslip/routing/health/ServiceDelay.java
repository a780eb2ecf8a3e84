package slateslip.routing.health;

import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * The delay with which the backends of a service currently respond, beyond the expected time, as
 * measured by this data plane. If all backends of a service respond late, a late backend is more
 * likely busy than down; probes also have to wait for a slot at a busy backend. Times are in
 * microseconds.
 */
public final class ServiceDelay {
  private final double decayMicros;
  private final double weight;
  private double delayMicros;
  private long measuredMicros;

  /** Creates the delay of a service without any measurement, which is 0. */
  public ServiceDelay(RoutingPolicy policy) {
    decayMicros = (double) policy.micros(RoutingParameter.SERVICE_DELAY_DECAY_MILLIS);
    weight = policy.value(RoutingParameter.SERVICE_DELAY_WEIGHT);
  }

  /** Records the delay of a response that has begun; 0 if the response was on time. */
  public void addSample(long nowMicros, long lateMicros) {
    double current = micros(nowMicros);
    delayMicros = current + weight * (lateMicros - current);
    measuredMicros = nowMicros;
  }

  /** Returns the current delay, which decays exponentially while no response is measured. */
  public long micros(long nowMicros) {
    return (long) (delayMicros * Math.exp((measuredMicros - nowMicros) / decayMicros));
  }
}
