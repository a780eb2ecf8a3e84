package slateslip.dataplane.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** When a connection that is not up yet counts as late, by the times of those before it. */
class ConnectTimeEstimatorTest {
  private final ConnectTimeEstimator estimator = new ConnectTimeEstimator();

  private void connected(int times, long millis) {
    for (int i = 0; i < times; i++) {
      estimator.connected(TimeUnit.MILLISECONDS.toNanos(millis));
    }
  }

  private long lateMillis() {
    return TimeUnit.NANOSECONDS.toMillis(estimator.lateNanos());
  }

  @Test
  void beforeAnyMeasurementAFixedTimeHolds() {
    assertThat(lateMillis(), is(60L));
  }

  @Test
  void quickNetworksDialAgainSooner() {
    connected(50, 2);
    assertThat(lateMillis(), is(30L));
  }

  @Test
  void distantBackendsAreGivenTheirTime() {
    connected(50, 80);
    assertThat(lateMillis(), is(both(greaterThan(79L)).and(lessThan(100L))));
  }

  @Test
  void timesThatVaryWidenTheWaitUpToALimit() {
    connected(50, 2);
    connected(3, 150);
    assertThat(lateMillis(), is(200L));
  }
}
