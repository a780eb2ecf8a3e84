package slateslip.distribution.delivery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests how long a rollout counts a data plane whose stream has ended. */
final class DepartedSubscribersTest {
  private static final long SECOND = 1_000_000;

  private final DepartedSubscribers departed = new DepartedSubscribers();

  @Test
  void slowestDepartedDataPlaneCounts() {
    assertThat(departed.slowestVersion(0), is(DeliveryProgress.NO_SUBSCRIBERS));
    departed.departed("edge-1", 7, 0);
    departed.departed("edge-2", 5, 0);
    assertThat(departed.slowestVersion(SECOND / 2), is(5L));
    departed.returned("edge-2");
    assertThat(departed.slowestVersion(SECOND / 2), is(7L));
  }

  @Test
  void dataPlaneThatDoesNotReturnIsForgotten() {
    departed.departed("edge-1", 7, 0);
    assertThat(departed.slowestVersion(SECOND - 1), is(7L));
    assertThat(departed.slowestVersion(SECOND), is(DeliveryProgress.NO_SUBSCRIBERS));
  }
}
