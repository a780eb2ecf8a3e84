package slateslip.simulation.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which machines count as lost: those in trouble and for a time after it, and those whose disk was
 * lost until all has been calm for that time. Disks are only lost within the tolerance.
 */
final class LossCount {
  private static final long SETTLED = 4_000_000;

  private final EventQueue events;
  private final Map<SimulatedNode, Long> lostUntil = new HashMap<>();
  private final Set<SimulatedNode> wiped = new HashSet<>();

  LossCount(EventQueue events) {
    this.events = events;
  }

  /** A machine is in trouble until a time. */
  void troubled(SimulatedNode node, long untilMicros) {
    lostUntil.merge(node, untilMicros + SETTLED, Math::max);
  }

  /** A machine is down for good. */
  void lost(SimulatedNode node) {
    lostUntil.put(node, Long.MAX_VALUE);
  }

  /** A machine lost its disk and starts again at a time. */
  void wiped(SimulatedNode node, long startsAtMicros) {
    wiped.add(node);
    troubled(node, startsAtMicros);
  }

  /** Whether one more machine may lose its disk. */
  boolean mayLose(SimulatedNode node, int faultTolerance) {
    Set<SimulatedNode> lost = new HashSet<>();
    lostUntil.forEach(
        (other, until) -> {
          if (until > events.now()) {
            lost.add(other);
          }
        });
    if (lost.isEmpty()) {
      wiped.clear();
    }
    lost.addAll(wiped);
    lost.add(node);
    return lost.size() <= faultTolerance;
  }
}
