package slateslip.loadbalancer.policy;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/** Selects the less loaded of two randomly drawn candidates (power of two choices). */
public final class PowerOfTwoChoices {
  private PowerOfTwoChoices() {}

  /**
   * Selects a candidate; from two or more candidates, two different ones are drawn and compared.
   *
   * @param inFlight returns this agent's requests in flight at a candidate
   * @param ties orders two candidates with equally many in flight: the lesser wins; if they are
   *     equal, the first drawn
   * @return the selected candidate, or null if there is none
   */
  public static <T> T pick(
      List<T> candidates, ToIntFunction<T> inFlight, Comparator<T> ties, RandomGenerator random) {
    int n = candidates.size();
    if (n <= 1) {
      return n == 0 ? null : candidates.get(0);
    }
    int i = random.nextInt(n);
    int j = random.nextInt(n - 1);
    T first = candidates.get(i);
    T second = candidates.get(j < i ? j : j + 1);
    return less(first, second, inFlight, ties);
  }

  /** Returns the candidate with fewer requests in flight; {@code ties} decides between equals. */
  public static <T> T less(T first, T second, ToIntFunction<T> inFlight, Comparator<T> ties) {
    int difference = inFlight.applyAsInt(first) - inFlight.applyAsInt(second);
    int order = difference == 0 ? ties.compare(first, second) : difference;
    return order <= 0 ? first : second;
  }
}
