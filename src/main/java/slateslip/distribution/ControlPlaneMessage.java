package slateslip.distribution;

import java.util.List;

/** What a control agent tells a data plane on its stream. */
public sealed interface ControlPlaneMessage {
  /** A complete configuration, as JSON. */
  record ConfigurationSnapshot(long version, byte[] document) implements ControlPlaneMessage {}

  /** A change from one version to the next: the body of the operator's {@code PATCH}. */
  record ConfigurationPatch(long fromVersion, long toVersion, byte[] patch)
      implements ControlPlaneMessage {}

  /**
   * All backends that the control agent knows.
   *
   * @param revision of this agent's table; it starts anew with each stream
   * @param complete false while the agent is still collecting after its start: what is missing may
   *     live
   */
  record SessionSnapshot(long revision, boolean complete, List<BackendSession> sessions)
      implements ControlPlaneMessage {}

  /** Sessions that are new or changed, and ids of those that are gone. */
  record SessionDelta(long revision, List<BackendSession> changed, List<String> removedIds)
      implements ControlPlaneMessage {}

  /** The data plane's share of the fleet-wide limits. */
  record QuotaUpdate(QuotaAllocation allocation) implements ControlPlaneMessage {}

  /**
   * Sent several times a second on every stream.
   *
   * @param current whether this agent is in touch with the primary of the newest view
   * @param configurationVersion newest version that it knows to be committed
   * @param sessionRevision newest revision of its session table
   * @param controlAgents IPv4 addresses of the control agents that it knows to be up
   */
  record Heartbeat(
      boolean current, long configurationVersion, long sessionRevision, List<String> controlAgents)
      implements ControlPlaneMessage {}

  /** Response to {@link DataPlaneMessage.Ping}. */
  record Pong(long nonce) implements ControlPlaneMessage {}
}
