package slateslip.dataplane.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the time after which a connection that is not yet established counts as late. */
class ConnectTimeEstimatorTest {
  private final ConnectTimeEstimator estimator = new ConnectTimeEstimator();

  private void recordConnectTimes(int times, long millis) {
    for (int i = 0; i < times; i++) {
      estimator.recordConnectTime(TimeUnit.MILLISECONDS.toNanos(millis));
    }
  }

  private long delayMillis() {
    return TimeUnit.NANOSECONDS.toMillis(estimator.secondDialDelayNanos());
  }

  @Test
  void delayIsFixedBeforeTheFirstMeasurement() {
    assertThat(delayMillis(), is(60L));
  }

  @Test
  void delayIsAtLowerLimitForShortConnectTimes() {
    recordConnectTimes(50, 2);
    assertThat(delayMillis(), is(30L));
  }

  @Test
  void delayExceedsLongConnectTimes() {
    recordConnectTimes(50, 80);
    assertThat(delayMillis(), is(both(greaterThan(79L)).and(lessThan(100L))));
  }

  @Test
  void varyingConnectTimesRaiseTheDelayUpToTheLimit() {
    recordConnectTimes(50, 2);
    recordConnectTimes(3, 150);
    assertThat(delayMillis(), is(200L));
  }
}
