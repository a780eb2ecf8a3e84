package slateslip.controlplane.agent;

import java.util.function.Consumer;
import slateslip.distribution.delivery.PeerProgress;
import slateslip.distribution.peer.ControlPeerMessage;

/**
 * Tracks which committed configuration versions the data planes of all agents have put into force.
 * The primary waits for this progress before it acknowledges a change; every other agent reports
 * the progress of its data planes to the primary. Confined to the event loop.
 */
final class RolloutTracker implements OperatorRequestHandler.ConfigurationRollout {
  private final Scheduler scheduler;
  private final ReplicaHost replica;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscriptions;
  private final PendingAcknowledgements pendingAcknowledgements;
  private final PeerProgress peerProgress = new PeerProgress();
  private long reportedVersion = -1;

  RolloutTracker(
      Scheduler scheduler,
      ReplicaHost replica,
      PeerLinks links,
      DataPlaneSubscriptions subscriptions,
      PendingAcknowledgements pendingAcknowledgements) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.links = links;
    this.subscriptions = subscriptions;
    this.pendingAcknowledgements = pendingAcknowledgements;
  }

  /**
   * Sends the primary the lowest configuration version in force at this agent's data planes. The
   * primary itself sends nothing.
   *
   * @param evenIfUnchanged whether to send a report even if the version is the same as in the last
   *     report
   */
  void reportProgress(boolean evenIfUnchanged) {
    long version = subscriptions.progress().slowestVersion();
    if (replica.isServing() || (!evenIfUnchanged && version == reportedVersion)) {
      return;
    }
    reportedVersion = version;
    String primary = replica.role().primary().address().toString();
    links.send(primary, new ControlPeerMessage.DeliveryReport(version));
  }

  /**
   * Sends a report if the progress has changed, and checks pending acknowledgements again. Must be
   * called after a data plane of this agent has connected, disconnected or acknowledged, and after
   * a configuration was committed.
   */
  void progressChanged() {
    reportProgress(false);
    pendingAcknowledgements.recheck();
  }

  /**
   * Records the incarnation of a peer that has sent its hello message. Reports of an earlier
   * incarnation are discarded.
   */
  void peerStarted(String peer, long incarnation) {
    peerProgress.peerStarted(peer, incarnation);
  }

  /** Records a peer's report of the progress of its data planes. */
  void reportReceived(ControlPeerMessage.Hello sender, ControlPeerMessage.DeliveryReport report) {
    peerProgress.recordReport(
        sender.address(), sender.incarnation(), replica.role().epoch(), report.slowestVersion());
    pendingAcknowledgements.recheck();
  }

  /** Discards the reports of a peer that was removed. */
  void peerRemoved(String peer) {
    peerProgress.remove(peer);
  }

  @Override
  public void await(long version, long timeoutMillis, Consumer<Boolean> onComplete) {
    pendingAcknowledgements.await(() -> isRolledOut(version), timeoutMillis, onComplete);
  }

  private boolean isRolledOut(long version) {
    if (subscriptions.progress().slowestVersion() < version) {
      return false;
    }
    for (String peer : links.reachability().reachablePeers(scheduler.nowMicros())) {
      if (!peerProgress.isDelivered(peer, replica.role().epoch(), version)) {
        return false;
      }
    }
    return true;
  }
}
