package slateslip.distribution.peer;

import java.util.List;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TransferPosition;

/** A message between control agents about sessions, operator requests, or data planes. */
public sealed interface ControlPeerMessage {
  /**
   * Identifies the sender; the first message on a connection.
   *
   * @param address IPv4 address of the sender
   * @param incarnation random number that the sender's process drew at its start
   * @param acceptsSegments whether the sender reads {@link Segment}; false for an agent of an
   *     earlier program version
   */
  record Hello(String address, long incarnation, boolean acceptsSegments)
      implements ControlPeerMessage {
    /** Creates the hello message of an agent that does not read segments. */
    public Hello(String address, long incarnation) {
      this(address, incarnation, false);
    }
  }

  /**
   * Shows that the sender is alive; sent several times a second.
   *
   * @param number number of this heartbeat; rises with each heartbeat
   * @param acknowledgedNumber number of the newest heartbeat that the sender has received from the
   *     receiver; 0 if there is none
   * @param complete whether the sender's session table contains all live backends
   * @param knownAgents IPv4 addresses of the control agents that the sender knows
   */
  record Heartbeat(long number, long acknowledgedNumber, boolean complete, List<String> knownAgents)
      implements ControlPeerMessage {}

  /**
   * Replicates sessions that are new or changed, and sessions that have ended.
   *
   * @param number number that the receiver acknowledges with {@link SessionChangesAcknowledged}; 0
   *     if no acknowledgement is awaited
   * @param fullTable whether the message contains all sessions of the sender
   * @param entries new or changed sessions
   * @param deregistered ids of backends that have deregistered
   */
  record SessionChanges(
      long number, boolean fullTable, List<SessionEntry> entries, List<String> deregistered)
      implements ControlPeerMessage {}

  /** Replicates renewals of sessions in which nothing else has changed. */
  record SessionRenewals(List<SessionRenewal> renewals) implements ControlPeerMessage {}

  /**
   * Acknowledges the changes with this number. The changes are in the sender's table, and the data
   * planes of the sender have acknowledged the changes or the sender has stopped waiting for them.
   */
  record SessionChangesAcknowledged(long number) implements ControlPeerMessage {}

  /** Forwards an operator request to the primary. The sender chooses {@code requestId}. */
  record ForwardedRequest(long requestId, OperatorRequest request) implements ControlPeerMessage {}

  /** Carries the response to the {@link ForwardedRequest} with the same id. */
  record ForwardedResponse(long requestId, OperatorResponse response)
      implements ControlPeerMessage {}

  /**
   * Reports the progress of the sender's data planes to the primary.
   *
   * @param slowestVersion lowest configuration version that these data planes have acknowledged;
   *     {@code Long.MAX_VALUE} if there are no data planes
   * @param deliveredBytes number of configuration bytes that the data planes have acknowledged in
   *     segments since the sender's start; it grows while a transfer makes progress. 0 from an
   *     agent of an earlier program version
   */
  record DeliveryReport(long slowestVersion, long deliveredBytes) implements ControlPeerMessage {}

  /**
   * Carries a part of a long message, which is compressed and split so that heartbeats and votes do
   * not wait behind it. The complete bytes decode to a message between control agents.
   */
  record Segment(ControlPlaneMessage.Segment part) implements ControlPeerMessage {}

  /** Acknowledges the bytes of a transfer that have been received without a gap. */
  record SegmentAcknowledge(TransferPosition position) implements ControlPeerMessage {}

  /** Reports the quota demand of data planes that are connected to the sender. */
  record DemandReport(List<DataPlaneDemand> dataPlanes) implements ControlPeerMessage {}

  /** Carries quota allocations for data planes that are connected to the receiver. */
  record QuotaAllocations(List<DataPlaneQuota> dataPlanes) implements ControlPeerMessage {}

  /**
   * The quota demand of one data plane.
   *
   * @param node name of the data plane's node
   * @param incarnation incarnation of the data plane's process
   * @param report report that the data plane sent
   */
  record DataPlaneDemand(String node, long incarnation, QuotaReport report) {}

  /**
   * The quota allocation for one data plane.
   *
   * @param node name of the data plane's node
   * @param allocation part of the fleet-wide limits that the data plane receives
   */
  record DataPlaneQuota(String node, QuotaAllocation allocation) {}
}
