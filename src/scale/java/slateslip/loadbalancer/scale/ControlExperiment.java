package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * What control costs against the number of agents that follow discovery, or against the number of
 * servers that it lists: hollow agents without requests, at several sizes in an order shuffled for
 * each round. A line is fitted to all sizes but one, which it then predicts.
 */
final class ControlExperiment implements Experiment {
  private static final int SPARE_SECONDS = 120;
  private static final double PERCENT = 100;

  /** What is measured. */
  private enum Figure {
    IDLE_CPU(
        "discovery's CPU while watches are renewed, % of a core",
        2, result -> PERCENT * share(result.phase("idle"))),
    STEADY_CPU(
        "discovery's CPU with a change a second, % of a core",
        2, result -> PERCENT * share(result.phase("steady"))),
    FULL_CPU(
        "discovery's CPU for a whole list to every agent at once, s",
        3,
        result -> result.phase("whole").discovery().cpuSeconds()),
    FULL_LAST(
        "until the last agent has the whole list, ms",
        0,
        result -> result.phase("whole").hollow().lastMicros() / 1_000.0),
    STEADY_LAST(
        "until the last agent has a change, the worst of the part, ms",
        0,
        result -> result.phase("steady").hollow().lastMicros() / 1_000.0),
    IDLE_CALLS(
        "calls of an agent while watches are renewed, 1/s",
        3,
        result -> result.phase("idle").callsPerAgent()),
    IDLE_BYTES(
        "bytes of an agent while watches are renewed, B/s",
        1,
        result -> result.phase("idle").bytesPerAgent()),
    CHANGE_BYTES(
        "bytes of an agent for a change of one entry, B",
        1,
        result -> each(result.phase("steady"))),
    FULL_BYTES(
        "bytes of an agent for the whole list, kB",
        2,
        result -> each(result.phase("whole")) / 1_000),
    HOLLOW_IDLE(
        "CPU of a hollow agent while watches are renewed, % of a core",
        4, result -> PERCENT * result.phase("idle").hollowCpu() / result.outcome().hollow()),
    HOLLOW_STEADY(
        "CPU of a hollow agent with a change a second, % of a core",
        4, result -> PERCENT * result.phase("steady").hollowCpu() / result.outcome().hollow()),
    HEAP(
        "heap of all hollow agents after collections, MB",
        1,
        result ->
            result.totals().path("hollow_heap_kb_each").asDouble()
                * result.outcome().hollow()
                / 1_024),
    HEAP_EACH(
        "heap of a hollow agent after collections, kB",
        1,
        result -> result.totals().path("hollow_heap_kb_each").asDouble());

    private final String title;
    private final int places;

    @SuppressWarnings("ImmutableEnumChecker") // the functions have no state
    private final ToDoubleFunction<FleetResult> of;

    Figure(String title, int places, ToDoubleFunction<FleetResult> of) {
      this.title = title;
      this.places = places;
      this.of = of;
    }

    private static double share(FleetPhase phase) {
      return phase.discovery().cpuSeconds() / phase.seconds();
    }

    private static double each(FleetPhase phase) {
      return phase.bytesPerAgent() * phase.seconds() / Math.max(1, phase.changes());
    }
  }

  private final boolean byServers;
  private final List<Integer> sizes;
  private final int validationPoints;
  private final int fixed;
  private final int zones;
  private final int rounds;
  private final int measureSeconds;
  private final int seed;

  ControlExperiment(Keys keys) {
    byServers = keys.word("by", "agents", Set.of("agents", "servers")).equals("servers");
    sizes = keys.wholes("sizes", List.of(50, 500, 1_000, 2_000, 5_000), 1, 20_000);
    validationPoints = keys.full("held-out", 0, 0, 20_000);
    fixed = keys.full(byServers ? "agents" : "servers", byServers ? 50 : 160, 1, 20_000);
    zones = keys.full("zones", 1, 1, 99);
    rounds = keys.full("rounds", 3, 1, 20);
    measureSeconds = keys.full("measure-s", 10, 1, 600);
    seed = keys.full("seed", 1, 0, Integer.MAX_VALUE);
    if (new TreeSet<>(sizes).size() < 2) {
      throw keys.bad("sizes", "holds no two different sizes: " + sizes);
    }
  }

  @Override
  public int limitSeconds() {
    return rounds * (sizes.size() + 1) * (5 * measureSeconds + SPARE_SECONDS);
  }

  @Override
  public void play(Report report, Children children) throws IOException {
    Map<Figure, Slope> slopes = new LinkedHashMap<>();
    for (Figure each : Figure.values()) {
      slopes.put(each, new Slope(validationPoints));
    }
    List<Integer> all = new ArrayList<>(new TreeSet<>(sizes));
    if (validationPoints > 0 && !all.contains(validationPoints)) {
      all.add(validationPoints);
    }
    Random random = new Random(seed);
    List<String> wrong = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      Collections.shuffle(all, random);
      for (int size : all) {
        FleetResult result = FleetRun.play(plan(size, round), report, children);
        slopes.forEach((figure, slope) -> slope.add(size, figure.of.applyAsDouble(result)));
        wrong.addAll(result.outcome().complaints());
      }
    }
    List<List<String>> rows = new ArrayList<>();
    slopes.forEach((figure, slope) -> rows.add(slope.row(figure.title, figure.places)));
    report.table(
        "against the number of "
            + (byServers
                ? "servers, with " + fixed + " agents"
                : "agents, with " + fixed + " servers")
            + "; least to most of "
            + rounds
            + " rounds",
        Slope.header("figure", new TreeSet<>(all), validationPoints),
        rows);
    if (!wrong.isEmpty()) {
      throw new IOException(String.join("; ", wrong));
    }
  }

  private FleetPlan plan(int size, int round) {
    int agents = byServers ? fixed : size;
    int servers = byServers ? size : fixed;
    return new FleetPlan(
        agents + " agents, " + servers + " servers",
        "round " + round,
        List.of(
            FleetPlan.Event.WARM,
            FleetPlan.Event.IDLE,
            FleetPlan.Event.STEADY,
            FleetPlan.Event.FULL),
        agents,
        0,
        servers,
        zones,
        FleetPlan.Mode.AUTOMATIC,
        0,
        0,
        1,
        0,
        1_000 + agents,
        3,
        measureSeconds,
        0,
        1_000,
        1,
        seed + round);
  }
}
