package slateslip.distribution.delivery;

import java.util.HashMap;
import java.util.Map;

/**
 * How far the data planes at the other control agents are, as these agents have said to this one in
 * its present term as primary. What a peer's earlier process said, or what was said in an earlier
 * term, says nothing about the data planes that are there now.
 */
public final class PeerProgress {
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();

  private record Report(long epoch, long slowestVersion) {}

  /** A peer's process has introduced itself. */
  public void peerStarted(String peer, long incarnation) {
    Long previous = incarnations.put(peer, incarnation);
    if (previous == null || previous != incarnation) {
      reports.remove(peer);
    }
  }

  /**
   * A peer has said how far its data planes are.
   *
   * @param incarnation of the process that has said so
   * @param epoch of the view in which this agent received it
   * @param slowestVersion lowest version acknowledged there; {@link DeliveryProgress#NOBODY} if
   *     there are no data planes
   */
  public void recordReport(String peer, long incarnation, long epoch, long slowestVersion) {
    if (incarnations.getOrDefault(peer, incarnation) == incarnation) {
      reports.put(peer, new Report(epoch, slowestVersion));
    }
  }

  /** Whether a peer has said, in this epoch, that its data planes have this version. */
  public boolean isDelivered(String peer, long epoch, long version) {
    Report report = reports.get(peer);
    return report != null && report.epoch == epoch && report.slowestVersion >= version;
  }

  /** The peer exists no more. */
  public void remove(String peer) {
    incarnations.remove(peer);
    reports.remove(peer);
  }
}
