package slateslip.distribution.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import slateslip.distribution.Spending;

/**
 * Keeps the parts of quotas that ended data plane processes held. What an ended process held counts
 * for one window after its end, less the reported spending that has left the window since.
 */
final class EndedHoldings {
  /**
   * An ended process and its parts of the quotas. Times are in microseconds of the allocator's
   * clock.
   *
   * @param reportedMicros when the allocator received the last report of the process
   * @param endedMicros the latest time at which the process can have ended
   * @param expiresMicros when nothing that the process held counts any more
   */
  private record EndedProcess(
      ProcessId process,
      long reportedMicros,
      long endedMicros,
      long expiresMicros,
      Map<String, Holding> holdings) {}

  /** Identifies a process by the name of its data plane and its incarnation. */
  private record ProcessId(String dataPlane, long incarnation) {}

  /** Holds the part of one tenant's quota that a process had when it ended. */
  private record Holding(double reserved, Spending spending) {}

  private final long windowMicros;
  private final Deque<EndedProcess> byExpiry = new ArrayDeque<>();
  private final Set<ProcessId> processes = new HashSet<>();

  EndedHoldings(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  /**
   * Records that a process has ended. A report from a later process of the same data plane shows
   * this.
   *
   * @param endedMicros when the later process started
   */
  void add(long nowMicros, long endedMicros, String dataPlane, QuotaHolder holder) {
    Map<String, Holding> holdings = new HashMap<>();
    holder
        .holdings()
        .forEach(
            (tenant, holding) ->
                holdings.put(tenant, new Holding(holding.reserved(), holding.spending())));
    ProcessId process = new ProcessId(dataPlane, holder.incarnation());
    long expiresMicros = nowMicros + QuotaTiming.endedRetentionMicros(windowMicros);
    byExpiry.addLast(
        new EndedProcess(process, holder.reportedMicros(), endedMicros, expiresMicros, holdings));
    processes.add(process);
  }

  /**
   * Returns whether the process has ended. Reports that the process sent before its end may still
   * arrive.
   */
  boolean contains(String dataPlane, long incarnation) {
    return processes.contains(new ProcessId(dataPlane, incarnation));
  }

  void expire(long nowMicros) {
    while (!byExpiry.isEmpty() && byExpiry.peekFirst().expiresMicros() <= nowMicros) {
      processes.remove(byExpiry.removeFirst().process());
    }
  }

  /** Returns the fraction of the tenant's quota that all ended processes still hold. */
  double fraction(long nowMicros, String tenant) {
    double sum = 0;
    for (EndedProcess ended : byExpiry) {
      Holding holding = ended.holdings().get(tenant);
      sum += holding == null ? 0 : fraction(nowMicros, ended, holding);
    }
    return sum;
  }

  /**
   * Returns the fraction of a quota that one ended process still holds. Until its end, the process
   * may have replaced spending that left its window by new spending, so only spending that leaves
   * the window after the end becomes free.
   */
  private double fraction(long nowMicros, EndedProcess ended, Holding holding) {
    long ranMicros = Math.max(0, ended.endedMicros() - ended.reportedMicros());
    double atEnd = holding.spending().minRemaining(ranMicros, windowMicros);
    long elapsedMicros = nowMicros - ended.reportedMicros();
    double remaining = holding.spending().maxRemaining(elapsedMicros, windowMicros);
    return holding.reserved() - atEnd + Math.min(atEnd, remaining);
  }
}
