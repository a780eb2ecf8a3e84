package slateslip.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which machines count as lost. A machine with a fault counts as lost until a stable period
 * after the end of the fault. A machine whose disk was wiped counts as lost until no machine has
 * had a fault for that period. A simulation wipes disks only while the number of lost machines
 * stays within the fault tolerance.
 */
public final class ToleratedLosses {
  private static final long STABLE_MICROS = 4_000_000;

  private final EventQueue events;
  private final Map<Object, Long> lostUntil = new HashMap<>();
  private final Set<Object> wiped = new HashSet<>();

  /** Creates a tracker without lost machines. */
  public ToleratedLosses(EventQueue events) {
    this.events = events;
  }

  /** Records that a machine has a fault until a time in microseconds. */
  public void markFaulty(Object machine, long untilMicros) {
    lostUntil.merge(machine, untilMicros + STABLE_MICROS, Math::max);
  }

  /** Records that a machine is down permanently. */
  public void lost(Object machine) {
    lostUntil.put(machine, Long.MAX_VALUE);
  }

  /**
   * Records that the disk of a machine was wiped and that the machine restarts at a time in
   * microseconds.
   */
  public void wiped(Object machine, long startsAtMicros) {
    wiped.add(machine);
    markFaulty(machine, startsAtMicros);
  }

  /**
   * Returns whether the disk of this machine may be wiped without exceeding the fault tolerance.
   */
  public boolean mayLose(Object machine, int faultTolerance) {
    Set<Object> lost = lost();
    lost.add(machine);
    return lost.size() <= faultTolerance;
  }

  /** Returns the machines that count as lost at present. */
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
