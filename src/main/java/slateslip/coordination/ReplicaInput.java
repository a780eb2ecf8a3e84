package slateslip.coordination;

import java.util.List;

/** The inputs of a {@link ControlReplica}. */
public sealed interface ReplicaInput {
  /**
   * First input.
   *
   * @param recovered what the disk holds, from the newest snapshot on; empty for an empty disk
   */
  record Start(List<DurableRecord> recovered) implements ReplicaInput {}

  /**
   * A message arrived.
   *
   * @param from its sender, as its frame says
   * @param message it
   */
  record Received(NodeId from, ReplicaMessage message) implements ReplicaInput {}

  /** The wake-up time came, or any time passed. */
  record Tick() implements ReplicaInput {}

  /**
   * A write is on disk. Writes complete in the order in which they were started.
   *
   * @param token of the write
   */
  record Written(long token) implements ReplicaInput {}

  /**
   * A write failed.
   *
   * @param token of the write
   */
  record WriteFailed(long token) implements ReplicaInput {}

  /** The process is asked to end: others are to take over what this node does in the view. */
  record Shutdown() implements ReplicaInput {}

  /**
   * A client's command; answered by one {@link ClientResult}.
   *
   * @param clientToken names the call
   * @param command handed to {@link ReplicatedState#prepare}
   */
  record Propose(long clientToken, byte[] command) implements ReplicaInput {}

  /**
   * Asks that the committed state be current; answered by one {@link ClientResult}, right after
   * which the state may be read.
   *
   * @param clientToken names the call
   */
  record Confirm(long clientToken) implements ReplicaInput {}
}
