package slateslip.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Shortens a schedule of faults that breaks a rule. */
public final class ShortestSchedule {
  private ShortestSchedule() {}

  /**
   * Leaves out one fault after the other as long as the schedule still fails.
   *
   * @param fails whether a schedule breaks a rule
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
