package slateslip.loadbalancer.scale;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How changes spread: when each agent first had which version. An agent has a version once it calls
 * for what is newer; that holds for real and hollow agents alike. Safe for several threads.
 */
public final class Spread implements DiscoveryStandIn.Observer {
  /**
   * Until when agents had a change, in milliseconds from its telling; not a number where too few
   * have it.
   *
   * @param agents how many agents have called so far
   * @param have how many of them have the version
   * @param half until half of them had it
   * @param max until 99 in 100 had it
   * @param last until the last had it
   */
  public record Times(int agents, int have, double half, double max, double last) {}

  /** By agent, versions in their order with the time at which it first had each. */
  private final Map<String, TreeMap<Long, Long>> first = new HashMap<>();

  @Override
  public synchronized void has(String agent, long version, long nanoTime) {
    TreeMap<Long, Long> had = first.computeIfAbsent(agent, each -> new TreeMap<>());
    if (had.isEmpty() || version > had.lastKey()) {
      had.put(version, nanoTime);
    }
  }

  /**
   * How a version spread, told at that time by {@link System#nanoTime}. An agent that had a newer
   * one at once has it too.
   */
  public synchronized Times of(long version, long notifiedNanos) {
    double[] millis =
        first.values().stream()
            .map(had -> had.ceilingEntry(version))
            .filter(each -> each != null)
            .mapToDouble(each -> (each.getValue() - notifiedNanos) / 1e6)
            .sorted()
            .toArray();
    int agents = first.size();
    return new Times(
        agents,
        millis.length,
        rank(millis, agents, 0.5),
        rank(millis, agents, 0.99),
        rank(millis, agents, 1));
  }

  /**
   * The times of some agents, in milliseconds and in no order.
   *
   * @param prefix how the names of those agents begin
   */
  public synchronized List<Double> millis(long version, long notifiedNanos, String prefix) {
    return first.entrySet().stream()
        .filter(each -> each.getKey().startsWith(prefix))
        .map(each -> each.getValue().ceilingEntry(version))
        .filter(each -> each != null)
        .map(each -> (each.getValue() - notifiedNanos) / 1e6)
        .toList();
  }

  /** Forgets versions before that one, so that a long run does not grow. */
  public synchronized void forgetBefore(long version) {
    first
        .values()
        .forEach(
            had -> {
              Long last = had.floorKey(version);
              if (last != null) {
                had.headMap(last, false).clear();
              }
            });
  }

  private static double rank(double[] sorted, int of, double part) {
    int at = (int) Math.ceil(part * of) - 1;
    return at >= 0 && at < sorted.length ? sorted[at] : Double.NaN;
  }

  /** How many agents' times are held; for a test of what is forgotten. */
  synchronized int pending() {
    return first.values().stream().mapToInt(TreeMap::size).sum();
  }
}
