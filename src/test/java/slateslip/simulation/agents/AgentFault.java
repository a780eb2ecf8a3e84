package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One fault of a schedule.
 *
 * @param atMicros when
 * @param kind what
 * @param target number of a machine, or a seed for a choice
 * @param micros how long
 */
record AgentFault(long atMicros, Kind kind, int target, long micros) {
  /** What happens. Core machines, unless it says otherwise. */
  enum Kind {
    KILL,
    KILL_PRIMARY,
    LOSE_POWER,
    LOSE_POWER_PRIMARY,
    WIPE,
    WIPE_PRIMARY,
    /** A machine is gone for good; an empty one comes at another address. */
    REPLACE,
    REPLACE_PRIMARY,
    /** The empty machine comes first, then the other one gets SIGTERM. */
    REPLACE_PLANNED,
    REPLACE_PRIMARY_PLANNED,
    /** SIGTERM, and a start at once. */
    RESTART,
    RESTART_PRIMARY,
    FREEZE,
    FREEZE_PRIMARY,
    /** From the other core machines. */
    ISOLATE,
    ISOLATE_PRIMARY,
    /** From the other core machines and all data planes. */
    PARTITION_FROM_ALL,
    PARTITION_PRIMARY_FROM_ALL,
    PARTITION_FROM_DATA_PLANES,
    /** Nothing that it sends arrives. */
    PARTITION_OUTBOUND,
    /** Nothing arrives at it. */
    PARTITION_INBOUND,
    PARTITION_PRIMARY_OUTBOUND,
    PARTITION_PRIMARY_INBOUND,
    PARTITION_IN_HALVES,
    /** New seeds begin with a machine that is cut off, and a data plane is started again. */
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
    FREEZE_DATA_PLANE
  }

  private static final int MAX_FAULTS = 6;
  private static final int CHOICES = 1_000;
  private static final long MIN_MICROS = 20_000;
  private static final long SHORT_MICROS = 400_000;
  private static final long MAX_MICROS = 4_000_000;
  private static final int LONG_EVERY = 6;
  private static final long LONG_MICROS = 24_000_000;

  /** A random schedule over some time, in order. */
  static List<AgentFault> schedule(SplittableRandom random, long micros, List<Kind> kinds) {
    List<AgentFault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    long clustered = random.nextLong(micros);
    for (int i = 0; i < count; i++) {
      boolean near = random.nextInt(3) == 0;
      long at = near ? clustered + random.nextLong(SHORT_MICROS) : random.nextLong(micros);
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      faults.add(new AgentFault(at, kind, random.nextInt(CHOICES), length(random)));
    }
    faults.sort(Comparator.comparingLong(AgentFault::atMicros));
    return faults;
  }

  private static long length(SplittableRandom random) {
    if (random.nextInt(LONG_EVERY) == 0) {
      return random.nextLong(MAX_MICROS, LONG_MICROS);
    }
    return random.nextLong(MIN_MICROS, random.nextBoolean() ? SHORT_MICROS : MAX_MICROS);
  }
}
