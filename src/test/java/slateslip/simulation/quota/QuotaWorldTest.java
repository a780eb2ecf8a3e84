package slateslip.simulation.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the units that a tenant's requests execute in any window, over all data planes, stay
 * within the tenant's quota.
 */
class QuotaWorldTest {
  static final long SCHEDULES = 60;
  private static final long SECOND = QuotaWorld.SECOND;

  /**
   * Seeds of random plans in which two allocators are active soon after a restart of all data
   * planes and the primary.
   */
  private static final long[] SEEDS_WITH_TWO_EPOCHS = {260, 287, 478};

  private static final double OVER_THE_LIMIT = 4.6;
  private static final double USUAL_DEMAND = 0.77;

  private static void assertWithinQuota(QuotaPlan plan) {
    String name = plan.toString();
    assertThat(name, QuotaWorld.run(plan).worstWindow(), lessThanOrEqualTo(1.0));
  }

  private static QuotaPlan hot(long seed, int dataPlanes, double rate, QuotaFault... faults) {
    return new QuotaPlan(seed, dataPlanes, rate, OVER_THE_LIMIT, 40 * SECOND, List.of(faults));
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "24, 47000", "94, 47000", "94, 800000"})
  void hotTenantStaysWithinItsQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(hot(seed, dataPlanes, rate));
    }
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "24, 800000", "94, 47000", "94, 800000"})
  void twoChangesOfThePrimaryWithSilentDataPlanesStayWithinTheQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(
          hot(
              seed,
              dataPlanes,
              rate,
              new QuotaFault(QuotaFault.Kind.CONTROL_PARTITION, 9 * SECOND, 8 * SECOND, 0.33),
              new QuotaFault(QuotaFault.Kind.PRIMARY_CHANGE, 10 * SECOND, SECOND, 0),
              new QuotaFault(QuotaFault.Kind.PRIMARY_CHANGE, 14 * SECOND, SECOND, 0)));
    }
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "6, 800000", "94, 800000"})
  void repeatedRestartsStayWithinTheQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(
          hot(
              seed,
              dataPlanes,
              rate,
              new QuotaFault(QuotaFault.Kind.RESTART, 12 * SECOND, 0, 0.5),
              new QuotaFault(QuotaFault.Kind.RESTART, 14 * SECOND, 0, 0.5),
              new QuotaFault(QuotaFault.Kind.RESTART, 16 * SECOND, 0, 0.5),
              new QuotaFault(QuotaFault.Kind.RESTART, 18 * SECOND, 0, 0.5)));
    }
  }

  @ParameterizedTest
  @CsvSource({"6, 800000", "94, 800000"})
  void restartsOfEverythingInSeriesStayWithinTheQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(
          hot(
              seed,
              dataPlanes,
              rate,
              new QuotaFault(QuotaFault.Kind.RESTART_OF_EVERYTHING, 12 * SECOND, SECOND / 5, 1),
              new QuotaFault(QuotaFault.Kind.RESTART_OF_EVERYTHING, 15 * SECOND, SECOND / 5, 1),
              new QuotaFault(QuotaFault.Kind.RESTART_OF_EVERYTHING, 18 * SECOND, SECOND / 5, 1)));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {335, 587, 1005, 1422, 1682})
  void restartOfEverythingUnderAHotTenantStaysWithinItsQuota(long seed) {
    assertWithinQuota(QuotaPlan.random(seed));
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "94, 47000", "94, 800000"})
  void tenantThatIsRemovedAndPutBackStaysWithinItsQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(
          hot(
              seed,
              dataPlanes,
              rate,
              new QuotaFault(QuotaFault.Kind.TENANT_REMOVED, 12 * SECOND, SECOND, 0),
              new QuotaFault(QuotaFault.Kind.LIMIT_LIFTED, 18 * SECOND, SECOND, 0)));
    }
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "94, 800000"})
  void backlogThatIsReleasedAtOnceStaysWithinTheQuota(int dataPlanes, double rate) {
    for (long seed = 1; seed <= 3; seed++) {
      assertWithinQuota(
          hot(
              seed,
              dataPlanes,
              rate,
              new QuotaFault(QuotaFault.Kind.BACKLOG, 12 * SECOND, 5 * SECOND, 0)));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "6, 47000",
    "6, 800000",
    "24, 47000",
    "24, 800000",
    "94, 47000",
    "94, 200000",
    "94, 800000"
  })
  void usualDemandIsRarelyRefused(int dataPlanes, double rate) {
    long requests = 0;
    long refused = 0;
    for (long seed = 1; seed <= 3; seed++) {
      QuotaPlan usual = new QuotaPlan(seed, dataPlanes, rate, USUAL_DEMAND, 60 * SECOND, List.of());
      QuotaWorld.Result result = QuotaWorld.run(usual);
      requests += result.requests();
      refused += result.refused();
    }
    assertThat((double) refused / requests, lessThan(0.02));
  }

  @ParameterizedTest
  @CsvSource({"6, 47000", "24, 200000", "94, 47000", "94, 800000"})
  void hotTenantGetsItsLimit(int dataPlanes, double rate) {
    QuotaWorld.Result result = QuotaWorld.run(hot(1, dataPlanes, rate));
    assertThat(result.worstWindow(), greaterThan(0.8));
  }

  /**
   * Returns plans for cases that random schedules rarely produce: long partitions, and two
   * primaries that are active for a long time.
   */
  static List<QuotaPlan> directedPlans() {
    List<QuotaPlan> plans = new ArrayList<>();
    for (int dataPlanes : new int[] {6, 94}) {
      QuotaFault longPartition =
          new QuotaFault(QuotaFault.Kind.CONTROL_PARTITION, 9 * SECOND, 40 * SECOND, 0.6);
      QuotaFault overlap =
          new QuotaFault(QuotaFault.Kind.PRIMARY_OVERLAP, 9 * SECOND, 20 * SECOND, 0);
      QuotaFault thirdPrimary =
          new QuotaFault(QuotaFault.Kind.PRIMARY_OVERLAP, 10 * SECOND, 20 * SECOND, 0);
      QuotaFault shift = new QuotaFault(QuotaFault.Kind.DEMAND_SHIFT, 14 * SECOND, 0, 0.3);
      QuotaFault shiftAgain = new QuotaFault(QuotaFault.Kind.DEMAND_SHIFT, 20 * SECOND, 0, 0.3);
      plans.add(directed(dataPlanes, longPartition, shift));
      plans.add(directed(dataPlanes, overlap, thirdPrimary, shift, shiftAgain));
    }
    for (long seed : SEEDS_WITH_TWO_EPOCHS) {
      plans.add(QuotaPlan.random(seed));
    }
    return plans;
  }

  private static QuotaPlan directed(int dataPlanes, QuotaFault... faults) {
    return new QuotaPlan(1, dataPlanes, 800_000, OVER_THE_LIMIT, 60 * SECOND, List.of(faults));
  }

  @Test
  void longPartitionsAndOverlappingPrimariesStayWithinTheQuota() {
    directedPlans().forEach(QuotaWorldTest::assertWithinQuota);
  }

  @Test
  void randomSchedulesOfFaultsStayWithinTheQuota() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      QuotaPlan plan = QuotaPlan.random(seed);
      double worst = QuotaWorld.run(plan).worstWindow();
      if (worst > 1) {
        throw new AssertionError(
            String.format(
                "seed %d: worst window is %.3f of the quota with %d data planes, "
                    + "%.0f units per second, faults: %s",
                seed,
                worst,
                plan.dataPlanes(),
                plan.ratePerSecond(),
                plan.faults().stream().map(Object::toString).collect(Collectors.joining("; "))));
      }
    }
  }
}
