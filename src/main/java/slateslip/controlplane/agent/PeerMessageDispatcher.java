package slateslip.controlplane.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.sessions.SessionTable;

/**
 * Hands each message of another control agent to the component that handles this type of message.
 * Confined to the event loop.
 */
final class PeerMessageDispatcher {
  private final SessionTable sessionTable;
  private final PeerLinks links;
  private final SessionService sessions;
  private final OperatorRequestHandler operatorRequests;
  private final RolloutTracker rollout;
  private final QuotaService quotas;

  /** IPv4 addresses of the peers whose full session table has been merged. */
  private final Set<String> fullTablesReceivedFrom = new HashSet<>();

  PeerMessageDispatcher(
      SessionTable sessionTable,
      PeerLinks links,
      SessionService sessions,
      OperatorRequestHandler operatorRequests,
      RolloutTracker rollout,
      QuotaService quotas) {
    this.sessionTable = sessionTable;
    this.links = links;
    this.sessions = sessions;
    this.operatorRequests = operatorRequests;
    this.rollout = rollout;
    this.quotas = quotas;
  }

  /**
   * Handles one message of a peer.
   *
   * @param sender the hello message of the connection on which the message arrived
   */
  void dispatch(ControlPeerMessage.Hello sender, ControlPeerMessage message) {
    String peer = sender.address();
    if (message instanceof ControlPeerMessage.Hello) {
      links.reachability().peerRestarted(peer);
      rollout.peerStarted(peer, sender.incarnation());
      links.connectTo(List.of(peer));
    } else if (message instanceof ControlPeerMessage.Heartbeat heartbeat) {
      handleHeartbeat(peer, heartbeat);
    } else if (message instanceof ControlPeerMessage.ForwardedRequest request) {
      operatorRequests.forwardedRequestReceived(peer, request);
    } else if (message instanceof ControlPeerMessage.ForwardedResponse response) {
      operatorRequests.forwardedResponseReceived(peer, response);
    } else if (message instanceof ControlPeerMessage.DeliveryReport report) {
      rollout.reportReceived(sender, report);
    } else if (message instanceof ControlPeerMessage.SegmentAcknowledge acknowledge) {
      links.segmentAcknowledged(peer, acknowledge.position());
    } else if (message instanceof ControlPeerMessage.DemandReport demand) {
      quotas.demandReportReceived(peer, demand);
    } else if (message instanceof ControlPeerMessage.QuotaAllocations allocations) {
      quotas.allocationsReceived(allocations);
    } else {
      dispatchToSessions(peer, message);
    }
  }

  private void handleHeartbeat(String peer, ControlPeerMessage.Heartbeat heartbeat) {
    links.heartbeatReceived(peer, heartbeat);
    if (heartbeat.complete() && fullTablesReceivedFrom.contains(peer)) {
      sessionTable.markComplete();
    }
    sessions.heartbeatAcknowledged(peer, links.reachability().acknowledgedMicros(peer));
  }

  private void dispatchToSessions(String peer, ControlPeerMessage message) {
    if (message instanceof ControlPeerMessage.SessionChanges changes) {
      sessions.merge(peer, changes);
      if (changes.fullTable()) {
        fullTablesReceivedFrom.add(peer);
      }
    } else if (message instanceof ControlPeerMessage.SessionRenewals renewals) {
      sessions.merge(peer, renewals);
    } else if (message instanceof ControlPeerMessage.SessionChangesAcknowledged acknowledged) {
      sessions.changesAcknowledged(peer, acknowledged.number());
    }
  }
}
