package slateslip.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

/** Compares the decisions about tolerated losses with a model that tries out every loss. */
final class FailureToleranceTest {
  private static final int ROUNDS = 3_000;
  private static final int MAX_NODES = 7;
  private static final int MAX_TOLERATED = 2;

  private static NodeLocation drawn(SplittableRandom random) {
    int zone = random.nextInt(5);
    return new NodeLocation("z" + zone, "r" + zone % 3);
  }

  private static List<NodeLocation> drawnNodes(SplittableRandom random) {
    List<NodeLocation> nodes = new ArrayList<>();
    for (int count = random.nextInt(MAX_NODES + 1); nodes.size() < count; ) {
      nodes.add(drawn(random));
    }
    return nodes;
  }

  /** Returns whether a condition on the number of remaining nodes holds after every loss. */
  private static boolean holdsAfterEveryLoss(
      FailureTolerance tolerance, List<NodeLocation> nodes, IntPredicate condition) {
    return condition.test(Math.max(0, nodes.size() - tolerance.machines()))
        && holdsAfterLossOf(tolerance.zones(), nodes, NodeLocation::zone, condition)
        && holdsAfterLossOf(tolerance.regions(), nodes, NodeLocation::region, condition);
  }

  private static boolean holdsAfterLossOf(
      int lost,
      List<NodeLocation> nodes,
      Function<NodeLocation, String> domain,
      IntPredicate condition) {
    List<String> domains = List.copyOf(new TreeSet<>(nodes.stream().map(domain).toList()));
    for (int subset = 0; subset < 1 << domains.size(); subset++) {
      if (Integer.bitCount(subset) > lost) {
        continue;
      }
      Set<String> gone = new TreeSet<>();
      for (int index = 0; index < domains.size(); index++) {
        if ((subset >> index & 1) == 1) {
          gone.add(domains.get(index));
        }
      }
      long remaining = nodes.stream().filter(node -> !gone.contains(domain.apply(node))).count();
      if (!condition.test((int) remaining)) {
        return false;
      }
    }
    return true;
  }

  @Test
  void decisionsEqualThoseOfTheModel() {
    for (long seed = 1; seed <= ROUNDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<NodeLocation> nodes = drawnNodes(random);
      FailureTolerance tolerance =
          new FailureTolerance(
              random.nextInt(MAX_TOLERATED + 1),
              random.nextInt(MAX_TOLERATED + 1),
              random.nextInt(MAX_TOLERATED + 1));
      String drawn = tolerance + " " + nodes;
      boolean survives = holdsAfterEveryLoss(tolerance, nodes, remaining -> remaining > 0);
      assertThat(drawn, tolerance.survives(nodes), is(survives));
      int majority = nodes.size() / 2 + 1;
      boolean majoritySurvives =
          holdsAfterEveryLoss(tolerance, nodes, remaining -> remaining >= majority);
      assertThat(drawn, tolerance.majoritySurvives(nodes), is(majoritySurvives));
    }
  }

  /** Guards against a placement that never becomes sound although there are enough nodes. */
  @Test
  void addingImprovingNodesEndsInSetThatSurvivesWithoutAnyOneIfAllNodesDo() {
    for (long seed = 1; seed <= ROUNDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<NodeLocation> candidates = drawnNodes(random);
      FailureTolerance tolerance = new FailureTolerance(random.nextInt(2), random.nextInt(3), 0);
      List<NodeLocation> chosen = new ArrayList<>();
      List<NodeLocation> remaining = new ArrayList<>(candidates);
      while (remaining.stream().anyMatch(node -> tolerance.improvesWith(chosen, node))) {
        NodeLocation added =
            remaining.stream()
                .filter(node -> tolerance.improvesWith(chosen, node))
                .findFirst()
                .orElseThrow();
        remaining.remove(added);
        chosen.add(added);
      }
      String drawn = tolerance + " " + candidates;
      assertThat(drawn, tolerance.survives(chosen), is(tolerance.survives(candidates)));
      assertThat(
          drawn,
          tolerance.survivesWithoutAnyOne(chosen),
          is(tolerance.survivesWithoutAnyOne(candidates)));
    }
  }

  /** An agent of an earlier program version does not report its zone. */
  @Test
  void nodesOfUnknownZonesCountByNumber() {
    FailureTolerance oneZone = new FailureTolerance(0, 1, 0);
    NodeLocation known = new NodeLocation("z1", "r1");
    assertThat(oneZone.survives(List.of(known, known)), is(false));
    assertThat(oneZone.survives(List.of(known, NodeLocation.UNKNOWN)), is(true));
    assertThat(oneZone.survives(List.of(NodeLocation.UNKNOWN, NodeLocation.UNKNOWN)), is(true));
  }

  @Test
  void twoAgentsInOneOfThreeZonesLeaveNoMajority() {
    FailureTolerance oneZone = new FailureTolerance(0, 1, 0);
    NodeLocation first = new NodeLocation("z1", "r1");
    NodeLocation second = new NodeLocation("z2", "r1");
    NodeLocation third = new NodeLocation("z3", "r1");
    assertThat(oneZone.majoritySurvives(List.of(first, first, second, third)), is(false));
    assertThat(oneZone.majoritySurvives(List.of(first, second, third)), is(true));
  }
}
