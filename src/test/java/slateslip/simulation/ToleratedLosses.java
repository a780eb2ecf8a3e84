package slateslip.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which machines count as lost: those in trouble and for a time after it, and those whose disk was
 * lost until all has been calm for that time. Disks are only lost within the tolerance.
 */
public final class ToleratedLosses {
  private static final long STABLE_MICROS = 4_000_000;

  private final EventQueue events;
  private final Map<Object, Long> lostUntil = new HashMap<>();
  private final Set<Object> wiped = new HashSet<>();

  /** Nothing is lost yet. */
  public ToleratedLosses(EventQueue events) {
    this.events = events;
  }

  /** A machine is in trouble until a time. */
  public void troubled(Object machine, long untilMicros) {
    lostUntil.merge(machine, untilMicros + STABLE_MICROS, Math::max);
  }

  /** A machine is down for good. */
  public void lost(Object machine) {
    lostUntil.put(machine, Long.MAX_VALUE);
  }

  /** A machine lost its disk and starts again at a time. */
  public void wiped(Object machine, long startsAtMicros) {
    wiped.add(machine);
    troubled(machine, startsAtMicros);
  }

  /** Whether one more machine may lose its disk. */
  public boolean mayLose(Object machine, int faultTolerance) {
    Set<Object> lost = lost();
    lost.add(machine);
    return lost.size() <= faultTolerance;
  }

  /** Machines that count as lost now. */
  public Set<Object> lost() {
    Set<Object> lost = new HashSet<>();
    lostUntil.forEach(
        (other, until) -> {
          if (until > events.nowMicros()) {
            lost.add(other);
          }
        });
    if (lost.isEmpty()) {
      wiped.clear();
    }
    lost.addAll(wiped);
    return lost;
  }
}
