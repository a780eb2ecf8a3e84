package slateslip.loadbalancer.policy;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/** The pick by two random draws: of two candidates the one with fewer requests in flight. */
public final class PowerOfTwoChoices {
  private PowerOfTwoChoices() {}

  /**
   * Picks one candidate; with two or more, two different ones are drawn.
   *
   * @param inFlight this agent's requests in flight at a candidate
   * @param ties decides between two with as many in flight: the lesser wins, the first drawn where
   *     equal
   * @return the pick, or null if there is no candidate
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

  /** Of two candidates the one with fewer requests in flight. */
  public static <T> T less(T first, T second, ToIntFunction<T> inFlight, Comparator<T> ties) {
    int difference = inFlight.applyAsInt(first) - inFlight.applyAsInt(second);
    int order = difference == 0 ? ties.compare(first, second) : difference;
    return order <= 0 ? first : second;
  }
}
