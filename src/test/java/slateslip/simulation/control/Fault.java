package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One fault of a schedule.
 *
 * @param atMicros the time in microseconds after the start of the fault period
 * @param kind the kind of the fault
 * @param target a number that selects a node, or a seed for another random choice
 * @param durationMicros the duration of the fault in microseconds
 */
record Fault(long atMicros, Kind kind, int target, long durationMicros) {
  /**
   * The kind of a fault. A kind whose name contains {@code PRIMARY} affects the serving primary;
   * see {@link FaultInjector}.
   */
  enum Kind {
    KILL,
    KILL_PRIMARY,
    LOSE_POWER,
    LOSE_POWER_PRIMARY,
    WIPE,
    WIPE_PRIMARY,
    REPLACE,
    FREEZE,
    FREEZE_PRIMARY,
    PARTITION_ONE_WAY,
    PARTITION_TOWARDS_PRIMARY,
    PARTITION_FROM_PRIMARY,
    ISOLATE,
    ISOLATE_PRIMARY,
    PARTITION_IN_HALVES,
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
    LOSE_POWER_AFTER_ACKNOWLEDGEMENT,
    WIPE_AFTER_ACKNOWLEDGEMENT,
    KILL_AFTER_RANDOM_DELAY,
    CRASH_AT_MESSAGES,
    CRASH_PRIMARY_THEN_AT_MESSAGES
  }

  private static final int EXTRA_CRASH_ENTRIES = 3;
  private static final int MAX_FAULTS = 9;
  private static final int MAX_TARGET = 1_000;
  private static final long MIN_DURATION_MICROS = 20_000;
  private static final long LONG_DURATION_MICROS = 3_000_000;
  private static final long SHORT_DURATION_MICROS = 300_000;

  /**
   * Returns all kinds; the kinds that crash a node between two messages occur several times, which
   * makes them more frequent.
   */
  static List<Kind> kinds() {
    List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
    for (int i = 0; i < EXTRA_CRASH_ENTRIES; i++) {
      kinds.add(Kind.CRASH_AT_MESSAGES);
      kinds.add(Kind.CRASH_PRIMARY_THEN_AT_MESSAGES);
    }
    return kinds;
  }

  /** Returns a random schedule of faults over a period in microseconds, ordered by time. */
  static List<Fault> schedule(SplittableRandom random, long periodMicros, List<Kind> kinds) {
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    long clusterMicros = random.nextLong(periodMicros);
    for (int i = 0; i < count; i++) {
      boolean inCluster = random.nextInt(3) == 0;
      long startMicros =
          inCluster
              ? clusterMicros + random.nextLong(SHORT_DURATION_MICROS)
              : random.nextLong(periodMicros);
      long maxDurationMicros = random.nextBoolean() ? SHORT_DURATION_MICROS : LONG_DURATION_MICROS;
      faults.add(
          new Fault(
              startMicros,
              kinds.get(random.nextInt(kinds.size())),
              random.nextInt(MAX_TARGET),
              random.nextLong(MIN_DURATION_MICROS, maxDurationMicros)));
    }
    faults.sort(Comparator.comparingLong(Fault::atMicros));
    return faults;
  }
}
