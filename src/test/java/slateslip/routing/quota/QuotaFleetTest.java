package slateslip.routing.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.configuration.Tenant;
import slateslip.distribution.quota.QuotaAllocator;
import slateslip.distribution.quota.QuotaAllocator.DataPlaneAllocation;

/**
 * Data planes and an allocator together: the rule over every window, and what is refused below the
 * limit.
 */
class QuotaFleetTest {
  private static final int INITIAL_DATA_PLANES = 16;
  private static final QuotaBounds BOUNDS = QuotaBounds.DEFAULT;
  private static final long SECOND = 1_000_000;
  private static final long STEP = 5_000;
  private static final long ALLOCATE_EVERY = 200_000;
  private static final int AGENTS = 6;

  /** The least rate of a deployment's tenant; it asks for 1/1.3 of it. */
  private static final double RATE = 47_000;

  private static final double USUAL = RATE / 1.3;

  private static final Tenant TENANT = new Tenant("t", List.of("k"), -1, true, 200, RATE, RATE);

  /** One agent's traffic and its link to the allocator. */
  private static final class Agent {
    TenantQuotas quotas = new TenantQuotas(BOUNDS, -BOUNDS.windowMicros(), INITIAL_DATA_PLANES);
    final double part;
    boolean truncated;

    Agent(double part) {
      this.part = part;
      quotas.tenants(List.of(TENANT));
    }
  }

  private static final class Fleet {
    final Random random;
    final QuotaAllocator allocator = new QuotaAllocator();
    final List<Agent> agents = new ArrayList<>();
    final Deque<long[]> admitted = new ArrayDeque<>();
    final long[] incarnations = new long[AGENTS];
    double inWindow;
    double worstWindow;
    long requested;
    long refused;

    Fleet(long seed) {
      random = new Random(seed);
      double[] parts = random.doubles(AGENTS, 0.4, 1.6).toArray();
      double sum = 0;
      for (double part : parts) {
        sum += part;
      }
      for (double part : parts) {
        agents.add(new Agent(part / sum));
      }
    }

    void run(long from, long to, double times) {
      for (long now = from; now < to; now += STEP) {
        if (now % ALLOCATE_EVERY == 0) {
          allocate(now);
        }
        for (Agent agent : agents) {
          arrivals(now, agent, times);
        }
        slide(now);
      }
    }

    void restart(int agent, long now) {
      agents.get(agent).quotas = new TenantQuotas(BOUNDS, now, INITIAL_DATA_PLANES);
      agents.get(agent).quotas.tenants(List.of(TENANT));
      incarnations[agent]++;
    }

    private void arrivals(long now, Agent agent, double times) {
      double mean = 11_000;
      double perStep = times * USUAL * agent.part / mean * STEP / SECOND;
      if (random.nextDouble() >= perStep) {
        return;
      }
      long units = (long) Math.min(93_000, mean * Math.exp(0.9 * random.nextGaussian() - 0.405));
      requested++;
      if (agent.quotas.take(TENANT, units, now)) {
        admitted.addLast(new long[] {now, units});
        inWindow += units;
      } else {
        refused++;
      }
    }

    private void slide(long now) {
      while (!admitted.isEmpty() && admitted.peekFirst()[0] <= now - BOUNDS.windowMicros()) {
        inWindow -= admitted.removeFirst()[1];
      }
      worstWindow = Math.max(worstWindow, inWindow);
    }

    private void allocate(long now) {
      for (int i = 0; i < agents.size(); i++) {
        if (!agents.get(i).truncated) {
          allocator.report(now, "a" + i, incarnations[i], agents.get(i).quotas.demand());
        }
      }
      for (DataPlaneAllocation each : allocator.allocate(now)) {
        Agent agent = agents.get(Integer.parseInt(each.dataPlane().substring(1)));
        if (!agent.truncated) {
          agent.quotas.shares(each.shares(), now);
        }
      }
    }
  }

  private static double limit() {
    double window = (double) BOUNDS.windowMicros() / SECOND;
    return (RATE * window + RATE) * (1 + BOUNDS.overshoot()) + BOUNDS.slack();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void usualDemandIsHardlyEverRefused(long seed) {
    Fleet fleet = new Fleet(seed);
    fleet.run(0, 60 * SECOND, 1);
    assertThat((double) fleet.refused / fleet.requested, lessThan(0.12));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void hotTenantStaysWithinTheRuleInEveryWindow(long seed) {
    Fleet fleet = new Fleet(seed);
    fleet.run(0, 10 * SECOND, 1);
    fleet.run(10 * SECOND, 20 * SECOND, 7.5);
    fleet.run(20 * SECOND, 30 * SECOND, 1);
    assertThat(fleet.worstWindow, lessThanOrEqualTo(limit()));
    assertThat(fleet.worstWindow, greaterThan(0.6 * limit()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void agentsThatAreCutOffStayWithinTheRule(long seed) {
    Fleet fleet = new Fleet(seed);
    fleet.run(0, 8 * SECOND, 7.5);
    fleet.agents.get(0).truncated = true;
    fleet.agents.get(1).truncated = true;
    fleet.run(8 * SECOND, 20 * SECOND, 7.5);
    fleet.agents.get(0).truncated = false;
    fleet.run(20 * SECOND, 32 * SECOND, 7.5);
    assertThat(fleet.worstWindow, lessThanOrEqualTo(limit()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void agentsThatStartAnewStayWithinTheRule(long seed) {
    Fleet fleet = new Fleet(seed);
    fleet.run(0, 9 * SECOND, 7.5);
    for (int i = 0; i < 2; i++) {
      fleet.restart(i, 9 * SECOND);
    }
    fleet.run(9 * SECOND, 12 * SECOND, 7.5);
    fleet.restart(3, 12 * SECOND);
    fleet.run(12 * SECOND, 24 * SECOND, 7.5);
    assertThat(fleet.worstWindow, lessThanOrEqualTo(limit()));
  }
}
