package slateslip.controlplane.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.sessions.HeartbeatResult;
import slateslip.distribution.sessions.SessionReplication;
import slateslip.distribution.sessions.SessionReplication.OutboundMessage;
import slateslip.distribution.sessions.SessionTable;

/**
 * Handles heartbeats of backends and session updates of other agents. Confined to the event loop.
 */
final class SessionService {
  /**
   * Limits how long the response to a draining or stopped backend waits for the agents and data
   * planes that may route to the backend.
   */
  private static final long DRAIN_ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 300;

  /** Limits how long the acknowledgement to a peer waits for the data planes of this agent. */
  private static final long PEER_ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 200;

  private final Scheduler scheduler;
  private final SessionTable table;
  private final SessionReplication replication;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscribers;
  private final PendingAcknowledgements pendingAcknowledgements;
  private final Majority majority;

  /**
   * Maps the number of each pending change to the IPv4 addresses of the peers that have not
   * acknowledged it.
   */
  private final Map<Long, Set<String>> unacknowledgedPeers = new TreeMap<>();

  /**
   * Number of the last change. The first number is drawn at random, so that two incarnations of an
   * agent do not use the same number.
   */
  private long lastChangeNumber;

  /** Determines whether this agent reaches a majority of the witnesses of the control state. */
  interface Majority {
    /** Returns whether this agent reaches a majority now. */
    boolean isReached();
  }

  /**
   * Creates a service without pending changes.
   *
   * @param incarnation incarnation of this process, drawn at random, from which change numbers
   *     start: a peer's acknowledgement to an earlier process must not be mistaken for an
   *     acknowledgement to this process
   */
  SessionService(
      long incarnation,
      Scheduler scheduler,
      SessionTable table,
      PeerLinks links,
      DataPlaneSubscriptions subscribers,
      PendingAcknowledgements pendingAcknowledgements,
      Majority majority) {
    lastChangeNumber = incarnation;
    this.scheduler = scheduler;
    this.table = table;
    this.links = links;
    this.subscribers = subscribers;
    this.pendingAcknowledgements = pendingAcknowledgements;
    this.majority = majority;
    replication = new SessionReplication(table);
  }

  /**
   * Handles a heartbeat of a backend; {@code onComplete} is called once with whether the heartbeat
   * is acknowledged.
   *
   * <p>An agent that reaches no majority does not acknowledge heartbeats: the other agents do not
   * receive the heartbeat and would let the session expire, so the backend has to send its
   * heartbeat to one of the other agents. Such an agent does not record the heartbeat either,
   * because the session that the agent sends to its peers after the partition would be older than
   * it appears. The only exception is a known backend that is draining: this information is still
   * correct after the partition.
   */
  void heartbeat(BackendSession session, Consumer<Boolean> onComplete) {
    boolean drainingKnownBackend = session.draining() && table.session(session.id()).isPresent();
    if (!majority.isReached() && !drainingKnownBackend) {
      onComplete.accept(false);
      return;
    }
    HeartbeatResult result = table.heartbeat(scheduler.nowMicros(), session);
    if (result == HeartbeatResult.RENEWED) {
      replication.recordRenewal(session.id());
    }
    if (session.draining()) {
      acknowledgeOnceReplicated(session.id(), onComplete);
      return;
    }
    if (result == HeartbeatResult.CHANGED || result == HeartbeatResult.ADOPTED) {
      replicateChange(0, session.id());
    }
    onComplete.accept(majority.isReached());
  }

  /**
   * Removes the session of a backend that has stopped; {@code onComplete} is called once with
   * whether the removal is acknowledged.
   */
  void deregister(String id, Consumer<Boolean> onComplete) {
    table.deregister(scheduler.nowMicros(), id);
    acknowledgeOnceReplicated(id, onComplete);
  }

  /**
   * Sends a change to peers and data planes, and acknowledges the change once all peers and data
   * planes that may route to the backend have acknowledged it, or after a bounded time.
   */
  private void acknowledgeOnceReplicated(String id, Consumer<Boolean> onComplete) {
    if (!majority.isReached()) {
      replicateChange(0, id);
      onComplete.accept(false);
      return;
    }
    long number = nextChangeNumber();
    unacknowledgedPeers.put(number, new HashSet<>(replication.connectedPeers()));
    replicateChange(number, id);
    long revision = table.revision();
    pendingAcknowledgements.await(
        () -> isAcknowledgedByPeers(number) && subscribers.progress().slowestRevision() >= revision,
        DRAIN_ACKNOWLEDGEMENT_TIMEOUT_MILLIS,
        inTime -> {
          unacknowledgedPeers.remove(number);
          onComplete.accept(majority.isReached());
        });
  }

  /**
   * Returns the next change number, which is never 0: the number 0 marks a message that needs no
   * acknowledgement.
   */
  private long nextChangeNumber() {
    lastChangeNumber++;
    if (lastChangeNumber == 0) {
      lastChangeNumber++;
    }
    return lastChangeNumber;
  }

  private boolean isAcknowledgedByPeers(long number) {
    Set<String> peers = unacknowledgedPeers.get(number);
    return peers == null || peers.isEmpty();
  }

  private void replicateChange(long number, String id) {
    send(replication.replicateChanges(scheduler.nowMicros(), number, List.of(id)));
    subscribers.deliverPending();
  }

  private void send(List<OutboundMessage> messages) {
    messages.forEach(outbound -> links.send(outbound.peer(), outbound.message()));
  }

  /**
   * Merges session changes of a peer. A change with a number other than 0 is acknowledged once the
   * data planes of this agent have the change, or after a bounded time.
   */
  void merge(String peer, ControlPeerMessage.SessionChanges changes) {
    long now = scheduler.nowMicros();
    changes.entries().forEach(entry -> table.merge(now, peer, entry));
    changes.deregistered().forEach(id -> table.deregister(now, id));
    subscribers.deliverPending();
    if (changes.number() != 0) {
      long revision = table.revision();
      pendingAcknowledgements.await(
          () -> subscribers.progress().slowestRevision() >= revision,
          PEER_ACKNOWLEDGEMENT_TIMEOUT_MILLIS,
          inTime ->
              links.send(
                  peer, new ControlPeerMessage.SessionChangesAcknowledged(changes.number())));
    }
  }

  /** Merges session renewals of a peer. */
  void merge(String peer, ControlPeerMessage.SessionRenewals renewals) {
    long now = scheduler.nowMicros();
    renewals.renewals().forEach(renewal -> table.merge(now, peer, renewal));
  }

  /** Records that a peer has acknowledged the change with this number. */
  void changesAcknowledged(String peer, long number) {
    Set<String> peers = unacknowledgedPeers.get(number);
    if (peers != null && peers.remove(peer)) {
      pendingAcknowledgements.recheck();
    }
  }

  /** Sends a newly connected peer the sessions that the peer has missed. */
  void connected(String peer, long incarnation) {
    send(replication.connected(scheduler.nowMicros(), peer, incarnation));
  }

  /**
   * Suspends the expiry of sessions that the disconnected peer reported, and stops waiting for
   * acknowledgements of the peer.
   */
  void disconnected(String peer) {
    replication.disconnected(peer);
    table.suspendExpiry(scheduler.nowMicros(), peer);
    unacknowledgedPeers.values().forEach(peers -> peers.remove(peer));
    pendingAcknowledgements.recheck();
  }

  /** Discards the replication state of a peer that was removed. */
  void peerRemoved(String peer) {
    replication.remove(peer);
  }

  /**
   * Records that a peer has received all messages that were sent to the peer before this time, in
   * microseconds.
   */
  void heartbeatAcknowledged(String peer, long sentBeforeMicros) {
    replication.acknowledged(peer, sentBeforeMicros);
  }

  /** Sends the renewals since the previous call to all connected peers in one batch. */
  void flushRenewals() {
    send(replication.flushRenewals(scheduler.nowMicros()));
  }

  /**
   * Removes sessions that were not renewed in time. While this agent reaches no majority, expiry is
   * suspended, because backends may send their heartbeats to agents that this agent does not reach.
   */
  void expire() {
    long now = scheduler.nowMicros();
    if (!majority.isReached()) {
      table.suspendExpiry(now);
    }
    table.expire(now);
    subscribers.deliverPending();
  }
}
