package slateslip.coordination;

import java.util.List;

/**
 * The effects of an input, which the host must carry out in this order: start the writes, send the
 * messages, respond to the clients.
 *
 * @param writes the writes to start, in this order and after all earlier writes
 * @param sends the messages to send
 * @param results the responses to clients
 * @param applied whether the committed state changed
 * @param role the role of the node after the input
 * @param wakeAtMicros the steady time in microseconds at which a {@link ReplicaInput.Tick} is due
 */
public record Effects(
    List<DurableWrite> writes,
    List<Send> sends,
    List<ClientResult> results,
    boolean applied,
    RoleStatus role,
    long wakeAtMicros) {

  /**
   * A message to send. The message may be lost; messages to the same node that arrive do so in the
   * order in which they were sent.
   *
   * @param to the address of the receiver
   * @param message the message
   */
  public record Send(NodeAddress to, ReplicaMessage message) {}

  /**
   * A durable write to start.
   *
   * @param token the token that the host passes back when the write has completed or failed
   * @param record the record to write; a snapshot begins a new file
   */
  public record DurableWrite(long token, DurableRecord record) {}

  /**
   * The identity and the role of the node.
   *
   * @param self the identity of the node, which its frames carry; {@link NodeId#NONE} until the
   *     identity is on disk
   * @param epoch the newest decided epoch that the node knows
   * @param primary the primary of that epoch
   * @param serving whether this node is the primary and accepts commands
   * @param committedSequence the sequence number of the last record applied on this node
   */
  public record RoleStatus(
      NodeId self, long epoch, NodeId primary, boolean serving, long committedSequence) {}
}
