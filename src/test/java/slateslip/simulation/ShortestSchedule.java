package slateslip.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Reduces a schedule of faults that breaks a rule to a minimal schedule. */
public final class ShortestSchedule {
  private ShortestSchedule() {}

  /**
   * Removes each fault in turn if the schedule still fails without the fault.
   *
   * @param fails returns whether a schedule breaks a rule
   */
  public static <F> List<F> of(List<F> schedule, Predicate<List<F>> fails) {
    List<F> faults = new ArrayList<>(schedule);
    int position = 0;
    while (position < faults.size()) {
      List<F> fewer = new ArrayList<>(faults);
      fewer.remove(position);
      if (fails.test(fewer)) {
        faults = fewer;
      } else {
        position++;
      }
    }
    return faults;
  }
}
