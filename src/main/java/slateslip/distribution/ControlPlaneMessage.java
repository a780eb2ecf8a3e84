package slateslip.distribution;

import java.util.List;

/** A message that a control agent sends to a data plane on its stream. */
public sealed interface ControlPlaneMessage {
  /** Carries a complete configuration, as JSON. */
  record ConfigurationSnapshot(long version, byte[] document) implements ControlPlaneMessage {}

  /** Carries a change from one version to the next: the body of the operator's {@code PATCH}. */
  record ConfigurationPatch(long fromVersion, long toVersion, byte[] patch)
      implements ControlPlaneMessage {}

  /**
   * Carries all backend sessions that the control agent knows.
   *
   * @param revision revision of this agent's table; revisions are not comparable between streams
   * @param complete false while the agent is still collecting sessions after its start; a backend
   *     that the snapshot does not contain may then be live
   * @param sessions all sessions that the agent knows
   */
  record SessionSnapshot(long revision, boolean complete, List<BackendSession> sessions)
      implements ControlPlaneMessage {}

  /** Carries the sessions that are new or changed, and the ids of sessions that have ended. */
  record SessionDelta(long revision, List<BackendSession> changed, List<String> removedIds)
      implements ControlPlaneMessage {}

  /** Carries the data plane's part of the fleet-wide limits. */
  record QuotaUpdate(QuotaAllocation allocation) implements ControlPlaneMessage {}

  /**
   * Shows that the control agent is alive; sent several times a second on every stream.
   *
   * @param current whether this agent receives messages from the primary of the newest view and
   *     reaches a majority of the agents that vote on the primary
   * @param configurationVersion newest version that this agent knows to be committed
   * @param sessionRevision newest revision of this agent's session table
   * @param controlAgents IPv4 addresses of the control agents that this agent reaches; if {@code
   *     current} is false, also the addresses of all agents that vote on the primary
   */
  record Heartbeat(
      boolean current, long configurationVersion, long sessionRevision, List<String> controlAgents)
      implements ControlPlaneMessage {}

  /** Responds to the {@link DataPlaneMessage.Ping} with the same nonce. */
  record Pong(long nonce) implements ControlPlaneMessage {}

  /**
   * Carries a part of a long message, which is compressed and split so that heartbeats, pongs and
   * quotas do not wait behind it. The complete bytes decode to another message of this interface.
   *
   * @param transfer identity of the compressed bytes; the same at all agents that send the same
   *     bytes
   * @param totalBytes length of all compressed bytes of the transfer
   * @param offset offset of {@code content} within the compressed bytes
   * @param content this part of the compressed bytes
   */
  record Segment(long transfer, int totalBytes, int offset, byte[] content)
      implements ControlPlaneMessage {}
}
