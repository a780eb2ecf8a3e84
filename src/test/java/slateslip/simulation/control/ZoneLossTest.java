package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.ReplicaInput;
import slateslip.simulation.RuleViolation;

/**
 * Tests the loss of a whole zone or region, with its disks, at any place of a rolling restart.
 * Guards against copies that all lie in one zone (review, case 6). The system property {@code
 * zones.seeds} sets the number of seeds.
 */
final class ZoneLossTest {
  private static final long SEEDS = Long.getLong("zones.seeds", 40);
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;

  /** A machine that is back counts as lost for this time. */
  private static final long SYNC_MICROS = 4 * SECOND;

  private static final long START_MICROS = 3 * SECOND;
  private static final long STOP_MICROS = 500 * MILLI;
  private static final long MAX_DOWN_MICROS = SECOND;
  private static final long MAX_LOSS_MICROS = 3 * SECOND;
  private static final long LIVENESS_TIMEOUT_MICROS = 3 * SECOND;

  private static final FailureTolerance ONE_ZONE = new FailureTolerance(0, 1, 0);
  private static final List<WorldShape> ZONE_SHAPES =
      List.of(
          new WorldShape(6, 6, ONE_ZONE, 3, 0),
          new WorldShape(6, 3, ONE_ZONE, 3, 0),
          new WorldShape(4, 3, ONE_ZONE, 3, 0),
          new WorldShape(9, 3, new FailureTolerance(1, 1, 0), 3, 0),
          new WorldShape(10, 5, new FailureTolerance(1, 2, 0), 5, 0));
  private static final List<WorldShape> REGION_SHAPES =
      List.of(
          new WorldShape(6, 3, new FailureTolerance(0, 0, 1), 6, 3),
          new WorldShape(9, 3, new FailureTolerance(1, 1, 1), 9, 3));

  /** A rolling restart beside which domains are lost. */
  private static final class RollingRestart {
    private final ControlWorld world;
    private final SplittableRandom random;
    private final Function<NodeLocation, String> domain;

    private RollingRestart(
        ControlWorld world, SplittableRandom random, Function<NodeLocation, String> domain) {
      this.world = world;
      this.random = random;
      this.domain = domain;
    }

    private long now() {
      return world.events().nowMicros();
    }

    private void run() {
      world.begin(2);
      world.runUntil(START_MICROS);
      boolean inOrder = random.nextBoolean();
      boolean lossesBetween = random.nextBoolean();
      for (SimulatedNode node : inOrder ? List.copyOf(world.nodes()) : shuffledNodes()) {
        restart(node, lossesBetween && random.nextBoolean());
      }
      lose(domain.apply(randomNode().location()));
      world.heal(0);
      assertAcceptsChange();
      world.checkEnd();
    }

    private List<SimulatedNode> shuffledNodes() {
      List<SimulatedNode> remaining = new ArrayList<>(world.nodes());
      List<SimulatedNode> shuffled = new ArrayList<>();
      while (!remaining.isEmpty()) {
        shuffled.add(remaining.remove(random.nextInt(remaining.size())));
      }
      return shuffled;
    }

    /**
     * Restarts a node.
     *
     * @param besideLoss whether a domain is lost meanwhile: the node's own while the node counts as
     *     lost, else any
     */
    private void restart(SimulatedNode node, boolean besideLoss) {
      long begin = now();
      long restartAt = begin + STOP_MICROS + random.nextLong(MAX_DOWN_MICROS);
      long syncedAt = restartAt + SYNC_MICROS;
      long lossAt = begin + random.nextLong(2 * SYNC_MICROS);
      node.handle(new ReplicaInput.Shutdown());
      world.events().at(begin + STOP_MICROS, node::kill);
      world.events().at(restartAt, () -> world.restart(node));
      if (besideLoss) {
        world.runUntil(lossAt);
        SimulatedNode lost = lossAt < syncedAt ? node : randomNode();
        lose(domain.apply(lost.location()));
      }
      world.runUntil(Math.max(now(), syncedAt));
    }

    private SimulatedNode randomNode() {
      return world.nodes().get(random.nextInt(world.nodes().size()));
    }

    private void lose(String lost) {
      long backAt = now() + random.nextLong(100 * MILLI, MAX_LOSS_MICROS);
      for (SimulatedNode node : world.nodes()) {
        if (domain.apply(node.location()).equals(lost)) {
          node.losePower();
          node.disk().wipe();
          world.events().at(backAt, () -> world.restart(node));
        }
      }
      assertAcceptsChange();
      world.runUntil(Math.max(now(), backAt) + SYNC_MICROS);
    }

    private void assertAcceptsChange() {
      if (world.timeToAcceptChange(LIVENESS_TIMEOUT_MICROS) < 0) {
        throw new RuleViolation(ScheduleRunner.NO_CHANGE_ACCEPTED);
      }
    }
  }

  private static List<String> failures(
      List<WorldShape> shapes, Mutation mutation, Function<NodeLocation, String> domain) {
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      WorldShape shape = shapes.get(random.nextInt(shapes.size()));
      try {
        new RollingRestart(new ControlWorld(shape, seed, mutation), random, domain).run();
      } catch (RuleViolation violation) {
        failures.add("seed " + seed + ", " + shape + ": " + violation.getMessage());
      }
    }
    return failures;
  }

  @Test
  void acknowledgedChangesSurviveLossOfZoneAtAnyPlaceOfRollingRestart() {
    assertThat(failures(ZONE_SHAPES, Mutation.NONE, NodeLocation::zone), is(empty()));
  }

  @Test
  void acknowledgedChangesSurviveLossOfRegionAtAnyPlaceOfRollingRestart() {
    assertThat(failures(REGION_SHAPES, Mutation.NONE, NodeLocation::region), is(empty()));
  }

  /** Restarts all nodes in the order of their addresses, which are grouped by zone. */
  private static void restartInOrderThenLose(String zone, Mutation mutation) {
    WorldShape shape = new WorldShape(6, 6, ONE_ZONE, 3, 0);
    ControlWorld world = new ControlWorld(shape, 1, mutation);
    RollingRestart rolling = new RollingRestart(world, new SplittableRandom(1), NodeLocation::zone);
    world.begin(2);
    world.runUntil(START_MICROS);
    List.copyOf(world.nodes()).forEach(node -> rolling.restart(node, false));
    rolling.lose(zone);
    world.heal(0);
    world.checkEnd();
  }

  @ParameterizedTest
  @ValueSource(strings = {"zone-0", "zone-1", "zone-2"})
  void restartInOrderLeavesCopiesInTwoZones(String zone) {
    restartInOrderThenLose(zone, Mutation.NONE);
  }

  @Test
  void countingCopiesByNumberAloneIsDetected() {
    assertThrows(
        RuleViolation.class, () -> restartInOrderThenLose("zone-0", Mutation.IGNORES_ZONES));
  }

  @Test
  void countingWitnessesByNumberAloneIsDetected() {
    List<WorldShape> twoAgentsInOneZone = List.of(new WorldShape(4, 3, ONE_ZONE, 3, 0));
    List<String> failures =
        failures(twoAgentsInOneZone, Mutation.IGNORES_ZONES, NodeLocation::zone);
    assertThat(failures.size(), is(greaterThanOrEqualTo(1)));
  }
}
