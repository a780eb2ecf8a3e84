package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import slateslip.simulation.agents.AgentFault.Kind;

/**
 * Prints how long the control side takes, in simulated time, to have a new primary, to take a
 * change again and to have it in force at the last data plane, after each kind of loss.
 */
final class RecoveryTimeReport {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long TIMEOUT = 8 * SECOND;
  private static final long LASTS = 20 * SECOND;
  private static final long DOWN = 300_000;
  private static final int SEEDS = 20;
  private static final int BEHIND_CHANGES = 1_500;
  private static final int BEHIND_BYTES = 150_000;
  private static final long BYTES_PER_MILLI = 125_000;

  private static final List<AgentWorld.Shape> SHAPES =
      List.of(AgentWorld.Shape.of(3, 1), AgentWorld.Shape.of(5, 2), AgentWorld.Shape.of(9, 2));

  private record Times(List<Long> primary, List<Long> taken, List<Long> inForce) {}

  private RecoveryTimeReport() {}

  /**
   * Prints the figures.
   *
   * @param arguments {@code behind} for a member that was away, nothing for the losses
   */
  public static void main(String[] arguments) {
    if (arguments.length > 0) {
      printBehind();
    } else {
      SHAPES.forEach(RecoveryTimeReport::printLosses);
    }
  }

  private static void printLosses(AgentWorld.Shape shape) {
    System.out.println(shape.agents() + " agents, tolerance " + shape.tolerance());
    print(shape, Kind.KILL_PRIMARY, DOWN);
    print(shape, Kind.LOSE_POWER_PRIMARY, LASTS);
    print(shape, Kind.WIPE_PRIMARY, SECOND);
    print(shape, Kind.RESTART_PRIMARY, DOWN);
    print(shape, Kind.REPLACE_PRIMARY, SECOND);
    print(shape, Kind.REPLACE_PRIMARY_PLANNED, SECOND);
    print(shape, Kind.FREEZE_PRIMARY, 3 * SECOND);
    print(shape, Kind.ISOLATE_PRIMARY, LASTS);
    print(shape, Kind.PARTITION_PRIMARY_FROM_ALL, LASTS);
    print(shape, Kind.PARTITION_PRIMARY_OUTBOUND, LASTS);
    print(shape, Kind.PARTITION_PRIMARY_INBOUND, LASTS);
    print(shape, Kind.DISK_HUNG_PRIMARY, 3 * SECOND);
    print(shape, Kind.KILL, DOWN);
    print(shape, Kind.FREEZE, 3 * SECOND);
    print(shape, Kind.KILL_ALL, DOWN);
    print(shape, Kind.LOSE_POWER_ALL, DOWN);
  }

  private static void print(AgentWorld.Shape shape, Kind kind, long micros) {
    Times times = new Times(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (long seed = 1; seed <= SEEDS; seed++) {
      times.primary.add(primaryAgain(shape, kind, micros, seed));
      measureChange(shape, kind, micros, seed, times);
    }
    System.out.printf(
        "  %-24s primary %s, change taken %s, in force %s%n",
        kind, text(times.primary), text(times.taken), text(times.inForce));
  }

  private static DirectedRun begin(AgentWorld.Shape shape, long seed) {
    DirectedRun run = new DirectedRun(shape, seed, 0);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    run.pass(SECOND);
    return run;
  }

  private static long primaryAgain(AgentWorld.Shape shape, Kind kind, long micros, long seed) {
    DirectedRun run = begin(shape, seed);
    ControlMachine before = run.primary();
    SimulatedProcess process = before.process();
    run.fault(kind, 1, micros);
    return run.timeUntil(
        () ->
            run.world().controlMachines().stream()
                .anyMatch(each -> each.isServing() && serves(kind, each, before, process)),
        TIMEOUT);
  }

  /** Whether that is a primary behind the loss, not the one that does not know of it yet. */
  private static boolean serves(
      Kind kind, ControlMachine each, ControlMachine before, SimulatedProcess process) {
    boolean primaryHit = kind.name().contains("PRIMARY") || kind.name().contains("ALL");
    return !primaryHit || each != before || each.process() != process;
  }

  private static void measureChange(
      AgentWorld.Shape shape, Kind kind, long micros, long seed, Times times) {
    DirectedRun run = begin(shape, seed);
    long at = run.now();
    run.fault(kind, 1, micros);
    times.taken.add(run.world().timeToTakeChange(TIMEOUT));
    run.timeUntilInForce(run.newest(), TIMEOUT);
    times.inForce.add(run.now() - at);
  }

  private static String text(List<Long> micros) {
    Collections.sort(micros);
    if (micros.get(0) < 0) {
      return "not within the bound in " + micros.stream().filter(each -> each < 0).count();
    }
    long median = micros.get(micros.size() / 2);
    long longest = micros.get(micros.size() - 1);
    return median / 1_000 + " ms (most " + longest / 1_000 + ")";
  }

  private static void printBehind() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 1, 0);
    run.world().network().limitBandwidth(BYTES_PER_MILLI);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine down = run.allBut(run.primary()).get(0);
    down.kill();
    run.takeMany(BEHIND_CHANGES, BEHIND_BYTES, "m");
    run.world().start(down, false);
    long time = run.timeUntilAgentHas(down, run.newest(), TIMEOUT);
    System.out.println(
        "a member %d changes of %d bytes behind has all after %d ms"
            .formatted(BEHIND_CHANGES, BEHIND_BYTES, time / 1_000));
  }
}
