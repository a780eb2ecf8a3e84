package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import slateslip.simulation.agents.AgentFault.Kind;

/**
 * Prints, for each kind of fault, the simulated time until the control plane has a primary again,
 * until it accepts a change again, and until the last data plane has applied the change.
 */
final class RecoveryTimeReport {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long TIMEOUT = 8 * SECOND;
  private static final long LONG_DURATION = 20 * SECOND;
  private static final long DOWNTIME = 300_000;
  private static final int SEEDS = 20;
  private static final int LAGGING_CHANGES = 1_500;
  private static final int LAGGING_BYTES = 150_000;
  private static final long BYTES_PER_MILLI = 125_000;

  private static final List<AgentWorld.Shape> SHAPES =
      List.of(AgentWorld.Shape.of(3, 1), AgentWorld.Shape.of(5, 2), AgentWorld.Shape.of(9, 2));

  private record Times(List<Long> primary, List<Long> accepted, List<Long> applied) {}

  private RecoveryTimeReport() {}

  /**
   * Prints the times.
   *
   * @param arguments {@code behind} to print the time until a lagging member has caught up, or
   *     empty to print the times for each kind of fault
   */
  public static void main(String[] arguments) {
    if (arguments.length > 0) {
      printLaggingMember();
    } else {
      SHAPES.forEach(RecoveryTimeReport::printLosses);
    }
  }

  private static void printLosses(AgentWorld.Shape shape) {
    System.out.println(shape.agents() + " agents, tolerance " + shape.tolerance());
    print(shape, Kind.KILL_PRIMARY, DOWNTIME);
    print(shape, Kind.LOSE_POWER_PRIMARY, LONG_DURATION);
    print(shape, Kind.WIPE_PRIMARY, SECOND);
    print(shape, Kind.RESTART_PRIMARY, DOWNTIME);
    print(shape, Kind.REPLACE_PRIMARY, SECOND);
    print(shape, Kind.REPLACE_PRIMARY_PLANNED, SECOND);
    print(shape, Kind.FREEZE_PRIMARY, 3 * SECOND);
    print(shape, Kind.ISOLATE_PRIMARY, LONG_DURATION);
    print(shape, Kind.PARTITION_PRIMARY_FROM_ALL, LONG_DURATION);
    print(shape, Kind.PARTITION_PRIMARY_OUTBOUND, LONG_DURATION);
    print(shape, Kind.PARTITION_PRIMARY_INBOUND, LONG_DURATION);
    print(shape, Kind.DISK_HUNG_PRIMARY, 3 * SECOND);
    print(shape, Kind.KILL, DOWNTIME);
    print(shape, Kind.FREEZE, 3 * SECOND);
    print(shape, Kind.KILL_ALL, DOWNTIME);
    print(shape, Kind.LOSE_POWER_ALL, DOWNTIME);
  }

  private static void print(AgentWorld.Shape shape, Kind kind, long micros) {
    Times times = new Times(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (long seed = 1; seed <= SEEDS; seed++) {
      times.primary.add(measurePrimary(shape, kind, micros, seed));
      measureChange(shape, kind, micros, seed, times);
    }
    System.out.printf(
        "  %-24s primary %s, change accepted %s, applied %s%n",
        kind, text(times.primary), text(times.accepted), text(times.applied));
  }

  private static DirectedRun begin(AgentWorld.Shape shape, long seed) {
    DirectedRun run = new DirectedRun(shape, seed, 0);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    run.advance(SECOND);
    return run;
  }

  private static long measurePrimary(AgentWorld.Shape shape, Kind kind, long micros, long seed) {
    DirectedRun run = begin(shape, seed);
    ControlMachine before = run.primary();
    SimulatedProcess process = before.process();
    run.fault(kind, 1, micros);
    return run.timeUntil(
        () ->
            run.world().controlMachines().stream()
                .anyMatch(
                    each -> each.isServing() && servesAfterFault(kind, each, before, process)),
        TIMEOUT);
  }

  /**
   * Returns whether an agent serves after the fault, rather than being the previous primary that
   * has not yet reacted to the fault.
   */
  private static boolean servesAfterFault(
      Kind kind, ControlMachine each, ControlMachine before, SimulatedProcess process) {
    boolean primaryHit = kind.name().contains("PRIMARY") || kind.name().contains("ALL");
    return !primaryHit || each != before || each.process() != process;
  }

  private static void measureChange(
      AgentWorld.Shape shape, Kind kind, long micros, long seed, Times times) {
    DirectedRun run = begin(shape, seed);
    long at = run.now();
    run.fault(kind, 1, micros);
    times.accepted.add(run.world().timeToAcceptChange(TIMEOUT));
    run.timeUntilApplied(run.newest(), TIMEOUT);
    times.applied.add(run.now() - at);
  }

  private static String text(List<Long> micros) {
    Collections.sort(micros);
    if (micros.get(0) < 0) {
      return "number of seeds that timed out: " + micros.stream().filter(each -> each < 0).count();
    }
    long median = micros.get(micros.size() / 2);
    long longest = micros.get(micros.size() - 1);
    return median / 1_000 + " ms (max " + longest / 1_000 + ")";
  }

  private static void printLaggingMember() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 1, 0);
    run.world().network().limitBandwidth(BYTES_PER_MILLI);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine down = run.allExcept(run.primary()).get(0);
    down.kill();
    run.submitMany(LAGGING_CHANGES, LAGGING_BYTES, "m");
    run.world().start(down, false);
    long time = run.timeUntilAgentHas(down, run.newest(), TIMEOUT);
    System.out.println(
        "a member that lacks %d changes of %d bytes has caught up after %d ms"
            .formatted(LAGGING_CHANGES, LAGGING_BYTES, time / 1_000));
  }
}
