package slateslip.simulation.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the simulation itself: the schedules that run in CI must detect each fault that is put
 * into data planes or allocators.
 */
class QuotaMutationTest {
  static EnumSet<QuotaMutation> faults() {
    return EnumSet.complementOf(EnumSet.of(QuotaMutation.NONE));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void faultIsDetected(QuotaMutation mutation) {
    assertThat(mutation.toString(), isDetected(mutation), is(true));
  }

  private static boolean isDetected(QuotaMutation mutation) {
    for (QuotaPlan plan : QuotaWorldTest.directedPlans()) {
      if (QuotaWorld.run(plan, mutation).worstWindow() > 1) {
        return true;
      }
    }
    for (long seed = 1; seed <= QuotaWorldTest.SCHEDULES; seed++) {
      if (QuotaWorld.run(QuotaPlan.random(seed), mutation).worstWindow() > 1) {
        return true;
      }
    }
    return false;
  }
}
