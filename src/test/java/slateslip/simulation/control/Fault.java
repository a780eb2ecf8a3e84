package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One fault of a schedule.
 *
 * @param atMicros when
 * @param kind what
 * @param target number of a node, or a seed for a choice
 * @param micros how long
 */
record Fault(long atMicros, Kind kind, int target, long micros) {
  /** What happens. */
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
    KILL_HALF_WAY,
    CRASH_AT_MESSAGES,
    CRASH_PRIMARY_THEN_AT_MESSAGES
  }

  private static final int EXTRA_CRASHES = 3;
  private static final int MAX_FAULTS = 9;
  private static final int NODE_CHOICES = 1_000;
  private static final long MIN_MICROS = 20_000;
  private static final long MAX_MICROS = 3_000_000;
  private static final long SHORT_MICROS = 300_000;

  /** All kinds, those that strike in the middle of an exchange more than once. */
  static List<Kind> kinds() {
    List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
    for (int i = 0; i < EXTRA_CRASHES; i++) {
      kinds.add(Kind.CRASH_AT_MESSAGES);
      kinds.add(Kind.CRASH_PRIMARY_THEN_AT_MESSAGES);
    }
    return kinds;
  }

  /** A random schedule over some time, in order. */
  static List<Fault> schedule(SplittableRandom random, long micros, List<Kind> kinds) {
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    long clustered = random.nextLong(micros);
    for (int i = 0; i < count; i++) {
      boolean near = random.nextInt(3) == 0;
      long at = near ? clustered + random.nextLong(SHORT_MICROS) : random.nextLong(micros);
      long max = random.nextBoolean() ? SHORT_MICROS : MAX_MICROS;
      faults.add(
          new Fault(
              at,
              kinds.get(random.nextInt(kinds.size())),
              random.nextInt(NODE_CHOICES),
              random.nextLong(MIN_MICROS, max)));
    }
    faults.sort(Comparator.comparingLong(Fault::atMicros));
    return faults;
  }
}
