package slateslip.distribution;

/** A message that a data plane sends to a control agent on its stream. */
public sealed interface DataPlaneMessage {
  /**
   * Subscribes to updates; the first message on a stream, and sent again when {@code active}
   * changes.
   *
   * @param node name of the data plane's node
   * @param incarnation random number that the data plane's process drew at its start
   * @param zone zone of the data plane
   * @param configurationVersion configuration version in force at the data plane; 0 if none
   * @param active whether the data plane wants configurations and sessions, or only {@link
   *     ControlPlaneMessage.Heartbeat}
   * @param acceptsSegments whether the data plane reads {@link ControlPlaneMessage.Segment}; false
   *     for a data plane of an earlier program version
   * @param partial the transfer of which the data plane holds the most bytes without being
   *     complete, so that an agent with the same bytes continues there
   */
  record Subscribe(
      String node,
      long incarnation,
      String zone,
      long configurationVersion,
      boolean active,
      boolean acceptsSegments,
      TransferPosition partial)
      implements DataPlaneMessage {
    /** Creates the subscription of a data plane that does not read segments. */
    public Subscribe(
        String node, long incarnation, String zone, long configurationVersion, boolean active) {
      this(node, incarnation, zone, configurationVersion, active, false, TransferPosition.NONE);
    }
  }

  /**
   * Acknowledges the configuration version and the session revision that are now in force at the
   * data plane.
   */
  record Acknowledge(long configurationVersion, long sessionRevision) implements DataPlaneMessage {}

  /**
   * Reports the state of each tenant's quota; sent a few times a second, and at once for requests
   * that wait.
   */
  record Demand(QuotaReport report) implements DataPlaneMessage {}

  /**
   * Acknowledges the bytes of a transfer that have been received without a gap. The agent sends
   * further segments only for acknowledged bytes, so that few bytes are in flight.
   */
  record SegmentAcknowledge(TransferPosition position) implements DataPlaneMessage {}

  /** Shows that the sender is alive when nothing else is sent. */
  record Ping(long nonce) implements DataPlaneMessage {}
}
