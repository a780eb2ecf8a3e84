package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.simulation.EventQueue;

/** Faults that hold for a while, looked up at the present time. */
final class FaultWindows {
  private final List<Fault> faults;
  private final EventQueue loop;

  FaultWindows(List<Fault> faults, EventQueue loop) {
    this.faults = faults;
    this.loop = loop;
  }

  /** The greatest strength of a kind of fault now; 0 if there is none. */
  double strength(Fault.Kind kind) {
    double strength = 0;
    for (Fault fault : faults) {
      if (fault.kind() == kind && holds(fault)) {
        strength = Math.max(strength, fault.strength());
      }
    }
    return strength;
  }

  /** The same for faults that strike one target. */
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
