package slateslip.distribution.delivery;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the delivery progress that the other control agents have reported to this agent in its
 * present term as primary. A report from an earlier process of a peer, or from an earlier term,
 * says nothing about the data planes that are connected to the peer now.
 */
public final class PeerProgress {
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();

  private record Report(long epoch, long slowestVersion, long deliveredBytes) {}

  /** Records the incarnation of a peer's process. Drops the report of an earlier incarnation. */
  public void peerStarted(String peer, long incarnation) {
    Long previous = incarnations.put(peer, incarnation);
    if (previous == null || previous != incarnation) {
      reports.remove(peer);
    }
  }

  /**
   * Records a report of a peer. Ignores the report if another incarnation of the peer has started.
   *
   * @param incarnation incarnation of the process that sent the report
   * @param epoch epoch of the view in which this agent received the report
   * @param slowestVersion lowest version acknowledged by the data planes of the peer; {@link
   *     DeliveryProgress#NO_SUBSCRIBERS} if there are no data planes
   * @param deliveredBytes number of configuration bytes that these data planes have acknowledged
   */
  public void recordReport(
      String peer, long incarnation, long epoch, long slowestVersion, long deliveredBytes) {
    if (incarnations.getOrDefault(peer, incarnation) == incarnation) {
      reports.put(peer, new Report(epoch, slowestVersion, deliveredBytes));
    }
  }

  /**
   * Returns whether the peer has reported in this epoch that all its data planes have this version
   * or a newer one.
   */
  public boolean isDelivered(String peer, long epoch, long version) {
    Report report = reports.get(peer);
    return report != null && report.epoch == epoch && report.slowestVersion >= version;
  }

  /**
   * Returns the number of configuration bytes that the data planes of all peers have acknowledged.
   * The number changes while a transfer makes progress.
   */
  public long deliveredBytes() {
    return reports.values().stream().mapToLong(Report::deliveredBytes).sum();
  }

  /** Removes all state of a peer that no longer exists. */
  public void remove(String peer) {
    incarnations.remove(peer);
    reports.remove(peer);
  }
}
