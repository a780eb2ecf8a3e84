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
  /** Limits how long an acknowledgement waits for data planes that make no progress. */
  private static final long STALL_TIMEOUT_MICROS = 400_000;

  private final Scheduler scheduler;
  private final ReplicaHost replica;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscriptions;
  private final PendingAcknowledgements pendingAcknowledgements;
  private final PeerProgress peerProgress = new PeerProgress();
  private final long maxWaitMicros;
  private long reportedVersion = -1;

  /** Newest version for which an acknowledgement has waited, and when the first one began. */
  private long awaitedVersion;

  private long awaitedSinceMicros;

  /**
   * Creates a tracker.
   *
   * @param maxWaitMicros maximum time from the first request to await a version until its
   *     acknowledgement, also while data planes make progress, in microseconds
   */
  RolloutTracker(
      Scheduler scheduler,
      ReplicaHost replica,
      PeerLinks links,
      DataPlaneSubscriptions subscriptions,
      PendingAcknowledgements pendingAcknowledgements,
      long maxWaitMicros) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.links = links;
    this.subscriptions = subscriptions;
    this.pendingAcknowledgements = pendingAcknowledgements;
    this.maxWaitMicros = maxWaitMicros;
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
    links.send(
        primary, new ControlPeerMessage.DeliveryReport(version, subscriptions.deliveredBytes()));
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
        sender.address(),
        sender.incarnation(),
        replica.role().epoch(),
        report.slowestVersion(),
        report.deliveredBytes());
    pendingAcknowledgements.recheck();
  }

  /** Discards the reports of a peer that was removed. */
  void peerRemoved(String peer) {
    peerProgress.remove(peer);
  }

  @Override
  public void await(long version, Consumer<Boolean> onComplete) {
    if (version > awaitedVersion) {
      awaitedVersion = version;
      awaitedSinceMicros = scheduler.nowMicros();
    }
    pendingAcknowledgements.awaitWithProgress(
        () -> isRolledOut(version),
        this::deliveredBytes,
        STALL_TIMEOUT_MICROS,
        awaitedSinceMicros + maxWaitMicros,
        onComplete);
  }

  private long deliveredBytes() {
    return subscriptions.deliveredBytes() + peerProgress.deliveredBytes();
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
