package slateslip.routing.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import slateslip.routing.policy.RoutingPolicy;

/** The delay of a service follows the measurements and decays without them. */
class ServiceDelayTest {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;

  private final ServiceDelay delay = new ServiceDelay(RoutingPolicy.DEFAULT);

  private void addSamples(int count, long lateMillis) {
    for (int i = 0; i < count; i++) {
      delay.addSample(SECOND, lateMillis * MILLI);
    }
  }

  @Test
  void delayIsZeroBeforeTheFirstMeasurement() {
    assertThat(delay.micros(SECOND), is(0L));
  }

  @Test
  void delayConvergesToRepeatedMeasurements() {
    addSamples(30, 400);
    assertThat(delay.micros(SECOND), is(both(greaterThan(390 * MILLI)).and(lessThan(401 * MILLI))));
  }

  @Test
  void oneLateResponseChangesTheDelayLittle() {
    addSamples(30, 0);
    addSamples(1, 400);
    assertThat(delay.micros(SECOND), is(lessThan(101 * MILLI)));
  }

  @Test
  void delayDecaysWithoutMeasurements() {
    addSamples(30, 400);
    assertThat(delay.micros(20 * SECOND), is(lessThan(MILLI)));
  }
}
