package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Shortens a schedule of faults while it still breaks a rule. */
public final class ScheduleShrinker {
  private ScheduleShrinker() {}

  /**
   * Leaves out ever smaller runs of faults, as long as the plan still fails.
   *
   * @param failing a plan that fails
   * @param fails plays a plan and tells whether it fails
   * @return a plan that fails and from which no single fault can be left out
   */
  public static WorldPlan shrink(WorldPlan failing, Predicate<WorldPlan> fails) {
    WorldPlan best = failing;
    int length = Math.max(1, best.faults().size() / 2);
    while (length >= 1) {
      boolean shorter = false;
      for (int start = 0; start + length <= best.faults().size(); start++) {
        List<Fault> fewer = new ArrayList<>(best.faults());
        fewer.subList(start, start + length).clear();
        WorldPlan candidate = best.withFaults(fewer);
        if (fails.test(candidate)) {
          best = candidate;
          shorter = true;
          break;
        }
      }
      if (!shorter) {
        length /= 2;
      }
    }
    return best;
  }
}
