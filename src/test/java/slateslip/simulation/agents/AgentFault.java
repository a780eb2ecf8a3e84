package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One fault of a schedule.
 *
 * @param atMicros the time in microseconds after the start of the fault period
 * @param kind the kind of the fault
 * @param target a number that selects a machine
 * @param durationMicros the duration of the fault in microseconds
 */
record AgentFault(long atMicros, Kind kind, int target, long durationMicros) {
  /**
   * The kind of a fault. A kind whose name contains {@code DATA_PLANE} affects a data plane, except
   * {@link #PARTITION_FROM_DATA_PLANES}; all other kinds affect the machines of control agents. A
   * kind whose name contains {@code PRIMARY} affects the serving primary.
   */
  enum Kind {
    KILL,
    KILL_PRIMARY,
    LOSE_POWER,
    LOSE_POWER_PRIMARY,
    WIPE,
    WIPE_PRIMARY,
    /** A machine fails permanently, and an empty machine with another address replaces it. */
    REPLACE,
    REPLACE_PRIMARY,
    /** An empty replacement starts first; then the replaced machine's process receives SIGTERM. */
    REPLACE_PLANNED,
    REPLACE_PRIMARY_PLANNED,
    /** The process receives SIGTERM and is started again shortly after it has ended. */
    RESTART,
    RESTART_PRIMARY,
    FREEZE,
    FREEZE_PRIMARY,
    /** A machine is partitioned from all other control agents. */
    ISOLATE,
    ISOLATE_PRIMARY,
    /** A machine is partitioned from all other control agents and from all data planes. */
    PARTITION_FROM_ALL,
    PARTITION_PRIMARY_FROM_ALL,
    PARTITION_FROM_DATA_PLANES,
    /** No message from the machine arrives at another control agent. */
    PARTITION_OUTBOUND,
    /** No message from another control agent arrives at the machine. */
    PARTITION_INBOUND,
    PARTITION_PRIMARY_OUTBOUND,
    PARTITION_PRIMARY_INBOUND,
    PARTITION_IN_HALVES,
    /** A machine is isolated, becomes the first seed in all settings, and a data plane restarts. */
    ISOLATE_WITH_SEEDS,
    RESET,
    SLOW_LINKS,
    DISK_SLOW,
    DISK_SLOW_PRIMARY,
    DISK_HUNG,
    DISK_HUNG_PRIMARY,
    DISK_FULL,
    DISK_FULL_PRIMARY,
    KILL_ALL,
    LOSE_POWER_ALL,
    LOSE_POWER_ALL_AND_WIPE,
    KILL_DATA_PLANE,
    FREEZE_DATA_PLANE,
    RESET_DATA_PLANE,
    /** All control agents and all data planes are killed at once and start again. */
    KILL_EVERYTHING;

    /** Returns the kinds of the schedules that do not limit the rates of links. */
    static List<Kind> ofFastLinks() {
      return List.copyOf(EnumSet.range(KILL, FREEZE_DATA_PLANE));
    }
  }

  private static final int MAX_FAULTS = 6;
  private static final int MAX_TARGET = 1_000;
  private static final long MIN_DURATION_MICROS = 20_000;
  private static final long SHORT_DURATION_MICROS = 400_000;
  private static final long LONG_DURATION_MICROS = 4_000_000;
  private static final int LONG_FAULT_ODDS = 6;
  private static final long MAX_DURATION_MICROS = 24_000_000;

  /** Returns a random schedule of faults over a period in microseconds, ordered by time. */
  static List<AgentFault> schedule(SplittableRandom random, long periodMicros, List<Kind> kinds) {
    List<AgentFault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    long clusterMicros = random.nextLong(periodMicros);
    for (int i = 0; i < count; i++) {
      boolean inCluster = random.nextInt(3) == 0;
      long at =
          inCluster
              ? clusterMicros + random.nextLong(SHORT_DURATION_MICROS)
              : random.nextLong(periodMicros);
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      faults.add(new AgentFault(at, kind, random.nextInt(MAX_TARGET), randomDuration(random)));
    }
    faults.sort(Comparator.comparingLong(AgentFault::atMicros));
    return faults;
  }

  private static long randomDuration(SplittableRandom random) {
    if (random.nextInt(LONG_FAULT_ODDS) == 0) {
      return random.nextLong(LONG_DURATION_MICROS, MAX_DURATION_MICROS);
    }
    return random.nextLong(
        MIN_DURATION_MICROS, random.nextBoolean() ? SHORT_DURATION_MICROS : LONG_DURATION_MICROS);
  }
}
