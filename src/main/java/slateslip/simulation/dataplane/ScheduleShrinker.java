package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Reduces a schedule of faults to a small schedule that still breaks a rule. */
public final class ScheduleShrinker {
  private ScheduleShrinker() {}

  /**
   * Removes ever shorter sequences of consecutive faults as long as the plan still fails.
   *
   * @param failing a plan that fails
   * @param fails runs a plan and returns whether the plan fails
   * @return a failing plan that does not fail any more when any single fault is removed
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
