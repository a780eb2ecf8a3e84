package slateslip.coordination;

import java.util.List;

/** The inputs of a {@link ControlReplica}. */
public sealed interface ReplicaInput {
  /**
   * The first input of a replica.
   *
   * @param recovered the records on disk, from the newest snapshot on; empty for an empty disk
   */
  record Start(List<DurableRecord> recovered) implements ReplicaInput {}

  /**
   * The arrival of a message.
   *
   * @param from the sender, as stated in the frame of the message
   * @param message the message
   */
  record Received(NodeId from, ReplicaMessage message) implements ReplicaInput {}

  /** The expiry of the wake-up time; a host may also send a tick at any other time. */
  record Tick() implements ReplicaInput {}

  /**
   * The completion of a write, whose record is now on disk. Writes complete in the order in which
   * they were started.
   *
   * @param token the token of the write
   */
  record Written(long token) implements ReplicaInput {}

  /**
   * The failure of a write.
   *
   * @param token the token of the write
   */
  record WriteFailed(long token) implements ReplicaInput {}

  /**
   * The progress of a long message to a node, which takes some time to be delivered.
   *
   * @param to the receiver of the message
   * @param inTransfer whether a message is still being delivered; if not, all messages that were
   *     sent to the node are delivered or lost
   */
  record TransferProgressed(NodeAddress to, boolean inTransfer) implements ReplicaInput {}

  /** A request to end the process: other nodes take over the roles of this node in the view. */
  record Shutdown() implements ReplicaInput {}

  /**
   * A command of a client, to which the replica responds with one {@link ClientResult}.
   *
   * @param clientToken the identifier of the request
   * @param command the command, which is passed to {@link ReplicatedState#prepare}
   */
  record Propose(long clientToken, byte[] command) implements ReplicaInput {}

  /**
   * A request to confirm that the committed state is current, to which the replica responds with
   * one {@link ClientResult}. The host may read the state immediately after the response {@link
   * ClientResult.Confirmed}.
   *
   * @param clientToken the identifier of the request
   */
  record Confirm(long clientToken) implements ReplicaInput {}
}
