package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.simulation.EventQueue;

/** Looks up which faults of a schedule are active at the current simulated time. */
final class FaultWindows {
  private final List<Fault> faults;
  private final EventQueue loop;

  FaultWindows(List<Fault> faults, EventQueue loop) {
    this.faults = faults;
    this.loop = loop;
  }

  /** Returns the greatest strength among the active faults of a kind, or 0 if there is none. */
  double strength(Fault.Kind kind) {
    double strength = 0;
    for (Fault fault : faults) {
      if (fault.kind() == kind && holds(fault)) {
        strength = Math.max(strength, fault.strength());
      }
    }
    return strength;
  }

  /**
   * Returns the greatest strength among the active faults of a kind that affect one target, or 0 if
   * there is none.
   */
  double strength(Fault.Kind kind, int target) {
    double strength = 0;
    for (Fault fault : faults) {
      if (fault.kind() == kind && fault.target() == target && holds(fault)) {
        strength = Math.max(strength, fault.strength());
      }
    }
    return strength;
  }

  private boolean holds(Fault fault) {
    long since = loop.nowMicros() - fault.atMicros();
    return since >= 0 && since < fault.forMicros();
  }
}
