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
   */
  record Subscribe(
      String node, long incarnation, String zone, long configurationVersion, boolean active)
      implements DataPlaneMessage {}

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

  /** Shows that the sender is alive when nothing else is sent. */
  record Ping(long nonce) implements DataPlaneMessage {}
}
