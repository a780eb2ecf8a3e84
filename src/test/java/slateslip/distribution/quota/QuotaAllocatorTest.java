package slateslip.distribution.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.quota.QuotaAllocator.DataPlaneAllocation;

class QuotaAllocatorTest {
  private static final int AGENTS = 4;
  private static final long TICK = 200_000;
  private static final long SECOND = 1_000_000;
  private static final double ROUNDING = 1e-9;

  private record Message(long dueMicros, int dataPlane, double fraction) {}

  private final QuotaAllocator allocator = new QuotaAllocator();
  private final long[] target = new long[AGENTS];
  private final double[] effectiveFraction = new double[AGENTS];
  private final long[] assignedMicros = new long[AGENTS];
  private final boolean[] truncated = new boolean[AGENTS];
  private final Deque<Message> onTheWay = new ArrayDeque<>();
  private long now;

  /**
   * One round of reports and answers; answers take effect after a delay below the settling time.
   */
  private void round(long delayMicros, double... demand) {
    now += TICK;
    for (int dataPlane = 0; dataPlane < AGENTS; dataPlane++) {
      target[dataPlane] += (long) demand[dataPlane];
      if (!truncated[dataPlane]) {
        allocator.report(
            now, "a" + dataPlane, 1, List.of(new TenantDemand("t", target[dataPlane], 0)));
      }
    }
    for (DataPlaneAllocation tenantDemand : allocator.allocate(now)) {
      int dataPlane = Integer.parseInt(tenantDemand.dataPlane().substring(1));
      if (!truncated[dataPlane]) {
        TenantShare share = tenantDemand.shares().tenants().get(0);
        onTheWay.add(new Message(now + delayMicros, dataPlane, share.fraction()));
      }
    }
    while (!onTheWay.isEmpty() && onTheWay.peek().dueMicros() <= now + TICK) {
      Message message = onTheWay.poll();
      lowerStale(message.dueMicros());
      effectiveFraction[message.dataPlane()] = message.fraction();
      assignedMicros[message.dataPlane()] = message.dueMicros();
      checkSum();
    }
  }

  /** Data planes without news fall back to the equal share by themselves. */
  private void lowerStale(long atMicros) {
    for (int dataPlane = 0; dataPlane < AGENTS; dataPlane++) {
      if (atMicros - assignedMicros[dataPlane] > QuotaAllocator.ALLOCATION_TTL_MICROS) {
        effectiveFraction[dataPlane] = Math.min(effectiveFraction[dataPlane], 1.0 / AGENTS);
      }
    }
  }

  private void checkSum() {
    assertThat(sum(), lessThanOrEqualTo(1 + ROUNDING));
  }

  private double sum() {
    double sum = 0;
    for (double tenantDemand : effectiveFraction) {
      sum += tenantDemand;
    }
    return sum;
  }

  @Test
  void fractionsFollowDemandAndLeaveNothingIdle() {
    for (int i = 0; i < 100; i++) {
      round(10_000, 9_000, 1_000, 0, 0);
    }
    assertThat(sum(), closeTo(1, 0.01));
    assertThat(effectiveFraction[0], greaterThan(0.45));
    assertThat("one without demand can begin", effectiveFraction[3], greaterThan(0.1));
    for (int i = 0; i < 100; i++) {
      round(10_000, 0, 1_000, 0, 9_000);
    }
    assertThat(sum(), closeTo(1, 0.01));
    assertThat(effectiveFraction[3], greaterThan(0.45));
    assertThat(effectiveFraction[0], lessThan(0.2));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void fractionsInForceNeverSumAboveOne(long seed) {
    Random random = new Random(seed);
    double[] demand = new double[AGENTS];
    for (int i = 0; i < 600; i++) {
      if (random.nextInt(8) == 0) {
        demand[random.nextInt(AGENTS)] = random.nextInt(4) * 100_000;
      }
      if (random.nextInt(40) == 0) {
        truncated[0] = !truncated[0];
      }
      round(350_000, demand);
    }
  }

  @Test
  void unresponsiveDataPlaneKeepsItsFraction() {
    for (int i = 0; i < 50; i++) {
      round(10_000, 5_000, 5_000, 5_000, 5_000);
    }
    double retained = effectiveFraction[0];
    truncated[0] = true;
    for (int i = 0; i < 25; i++) {
      round(10_000, 5_000, 50_000, 5_000, 5_000);
    }
    assertThat(effectiveFraction[0], is(retained));
    assertThat(sum(), closeTo(1, 0.01));
  }

  @Test
  void whatARemovedAgentHadIsDividedAfterAWhile() {
    for (int i = 0; i < 50; i++) {
      round(10_000, 5_000, 5_000, 5_000, 5_000);
    }
    truncated[0] = true;
    allocator.removed(now, "a0");
    effectiveFraction[0] = 0;
    for (int i = 0; i < 10 * SECOND / TICK; i++) {
      round(10_000, 0, 5_000, 5_000, 5_000);
    }
    assertThat(sum(), closeTo(1, 0.01));
  }
}
