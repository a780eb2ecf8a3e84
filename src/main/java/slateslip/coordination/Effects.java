package slateslip.coordination;

import java.util.List;

/**
 * What the host must do after an input, in this order: start the writes, send the messages, answer
 * the clients.
 *
 * @param writes to start, in order, behind all earlier ones
 * @param sends messages to send
 * @param results answers to clients
 * @param applied whether the committed state changed
 * @param role the role after the input
 * @param wakeAtMicros steady time at which a {@link ReplicaInput.Tick} is due
 */
public record Effects(
    List<DurableWrite> writes,
    List<Send> sends,
    List<ClientResult> results,
    boolean applied,
    RoleStatus role,
    long wakeAtMicros) {

  /**
   * A message to send; it may be lost. What is sent to one node arrives in order or not at all.
   *
   * @param to address of the receiver
   * @param message it
   */
  public record Send(NodeAddress to, ReplicaMessage message) {}

  /**
   * A durable write to start.
   *
   * @param token handed back when it is on disk or has failed
   * @param record what to write; a snapshot begins a new file
   */
  public record DurableWrite(long token, DurableRecord record) {}

  /**
   * The node's place.
   *
   * @param self its identity, which its frames carry; {@link NodeId#NONE} until it has one
   * @param epoch newest decided epoch known
   * @param primary that epoch's primary
   * @param serving whether this node is the primary and takes commands
   * @param committedSequence records applied here
   */
  public record RoleStatus(
      NodeId self, long epoch, NodeId primary, boolean serving, long committedSequence) {}
}
