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

/** Heartbeats of backends, and session updates of other agents. Confined to the event loop. */
final class SessionService {
  /** How long the response to a backend that leaves waits for those that route to it. */
  private static final long DRAIN_ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 300;

  /** How long a peer's response waits for its own data planes. */
  private static final long PEER_ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 200;

  private final Scheduler scheduler;
  private final SessionTable table;
  private final SessionReplication replication;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscribers;
  private final PendingAcknowledgements pendingAcknowledgements;
  private final Majority majority;
  private final Map<Long, Set<String>> unacknowledgedPeers = new TreeMap<>();

  /** Begins at a number drawn at random, so that no two incarnations of an agent use one. */
  private long lastChangeNumber;

  /** Whether this agent reaches a majority of those that keep the control state. */
  interface Majority {
    boolean isReached();
  }

  /**
   * No calls yet.
   *
   * @param incarnation of this process, drawn at random: what a peer has stored for an earlier
   *     process must not be taken for an acknowledgement to this one
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
   * A heartbeat of a backend; {@code acknowledged} is called once with the result. An agent that
   * reaches no majority does not acknowledge it: the others do not hear of the call and would let
   * the session expire, so the backend has to call one of them. Nor does such an agent take note of
   * it, since what it hands to the others when it reaches them again would be older than it looks;
   * only that a known backend leaves, which is never wrong later.
   */
  void heartbeat(BackendSession session, Consumer<Boolean> acknowledged) {
    boolean drainingKnownBackend = session.draining() && table.session(session.id()).isPresent();
    if (!majority.isReached() && !drainingKnownBackend) {
      acknowledged.accept(false);
      return;
    }
    HeartbeatResult result = table.heartbeat(scheduler.nowMicros(), session);
    if (result == HeartbeatResult.RENEWED) {
      replication.recordRenewal(session.id());
    }
    if (session.draining()) {
      acknowledgeOnceReplicated(session.id(), acknowledged);
      return;
    }
    if (result == HeartbeatResult.CHANGED || result == HeartbeatResult.ADOPTED) {
      replicateChange(0, session.id());
    }
    acknowledged.accept(majority.isReached());
  }

  /** A backend says that it is gone. */
  void deregister(String id, Consumer<Boolean> acknowledged) {
    table.deregister(scheduler.nowMicros(), id);
    acknowledgeOnceReplicated(id, acknowledged);
  }

  /** Acknowledged once all that may route to the backend know, or after a bounded time. */
  private void acknowledgeOnceReplicated(String id, Consumer<Boolean> acknowledged) {
    if (!majority.isReached()) {
      replicateChange(0, id);
      acknowledged.accept(false);
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
          acknowledged.accept(majority.isReached());
        });
  }

  /** A number that is not 0, which stands for a message that nobody waits for. */
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
    send(replication.changed(scheduler.nowMicros(), number, List.of(id)));
    subscribers.deliverPending();
  }

  private void send(List<OutboundMessage> messages) {
    messages.forEach(outbound -> links.send(outbound.peer(), outbound.message()));
  }

  /** Changes at another agent. */
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

  /** Renewals at another agent. */
  void merge(String peer, ControlPeerMessage.SessionRenewals renewals) {
    long now = scheduler.nowMicros();
    renewals.renewals().forEach(renewal -> table.merge(now, peer, renewal));
  }

  /** A peer has what was sent to it under this number. */
  void changesAcknowledged(String peer, long number) {
    Set<String> peers = unacknowledgedPeers.get(number);
    if (peers != null && peers.remove(peer)) {
      pendingAcknowledgements.recheck();
    }
  }

  void connected(String peer, long incarnation) {
    send(replication.connected(scheduler.nowMicros(), peer, incarnation));
  }

  void disconnected(String peer) {
    replication.disconnected(peer);
    table.suspendExpiry(scheduler.nowMicros(), peer);
    unacknowledgedPeers.values().forEach(peers -> peers.remove(peer));
    pendingAcknowledgements.recheck();
  }

  void peerRemoved(String peer) {
    replication.remove(peer);
  }

  /** A peer has received all that was sent before this time. */
  void heartbeatAcknowledged(String peer, long sentBeforeMicros) {
    replication.acknowledged(peer, sentBeforeMicros);
  }

  /** Sends the renewals of the last while. */
  void flushRenewals() {
    send(replication.flushRenewals(scheduler.nowMicros()));
  }

  /** Drops sessions that were not renewed, unless that is for want of hearing. */
  void expire() {
    long now = scheduler.nowMicros();
    if (!majority.isReached()) {
      table.suspendExpiry(now);
    }
    table.expire(now);
    subscribers.deliverPending();
  }
}
