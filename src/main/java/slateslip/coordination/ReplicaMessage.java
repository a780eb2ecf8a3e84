package slateslip.coordination;

/** A message that core nodes exchange to replicate the control state. */
public sealed interface ReplicaMessage {
  /**
   * A request of a node that receives no heartbeats of a primary: asks for the newest view and for
   * admission to the view.
   *
   * @param view the newest decided view that the sender knows
   * @param status the status of the sender
   */
  record Hello(View view, ReplicaStatus status) implements ReplicaMessage {}

  /**
   * A heartbeat of the primary, sent in regular rounds, after each commit and for each
   * confirmation.
   *
   * @param term the term of the primary
   * @param round the number of the heartbeat round, which increases with each round
   * @param committedSequence the sequence number of the last committed record
   * @param active whether the primary reaches a majority of the witnesses and has not resigned
   * @param view the view of the primary, or {@link View#NONE} if the receiver is known to have the
   *     view
   */
  record Heartbeat(PrimaryTerm term, long round, long committedSequence, boolean active, View view)
      implements ReplicaMessage {}

  /**
   * The reply to a heartbeat, sent after the heartbeat has been handled.
   *
   * @param term the term of the heartbeat
   * @param round the round of the heartbeat
   * @param status the status of the replying node
   */
  record HeartbeatReply(PrimaryTerm term, long round, ReplicaStatus status)
      implements ReplicaMessage {}

  /**
   * The announcement of a decided view.
   *
   * @param view the decided view
   */
  record Decided(View view) implements ReplicaMessage {}

  /**
   * The first phase of a proposal for the epoch after {@code base}.
   *
   * @param base the newest decided view that the proposer knows
   * @param ballot the ballot of the proposal
   * @param primaryConsents whether the primary of the base view is the proposer or has resigned in
   *     favor of the proposer
   */
  record Prepare(View base, Ballot ballot, boolean primaryConsents) implements ReplicaMessage {}

  /**
   * The promise of a witness to accept no lower ballot, sent after the promise is on disk.
   *
   * @param baseEpoch the epoch of the base view
   * @param ballot the promised ballot
   * @param acceptedBallot the ballot of the view that the witness accepted earlier, or {@link
   *     Ballot#NONE}
   * @param accepted the view that the witness accepted earlier, or {@link View#NONE}
   * @param status the status of the promising node
   */
  record Promise(
      long baseEpoch, Ballot ballot, Ballot acceptedBallot, View accepted, ReplicaStatus status)
      implements ReplicaMessage {}

  /**
   * The second phase of a proposal.
   *
   * @param baseEpoch the epoch of the base view
   * @param ballot the ballot of the proposal
   * @param value the proposed view
   */
  record Accept(long baseEpoch, Ballot ballot, View value) implements ReplicaMessage {}

  /**
   * The acceptance of a proposal by a witness, sent after the vote is on disk.
   *
   * @param baseEpoch the epoch of the base view
   * @param ballot the ballot of the proposal
   */
  record Accepted(long baseEpoch, Ballot ballot) implements ReplicaMessage {}

  /**
   * The rejection of a proposal by a witness.
   *
   * @param baseEpoch the epoch of the base view
   * @param ballot the rejected ballot
   * @param promised the higher ballot that the witness has promised, or {@link Ballot#NONE} if the
   *     proposal is rejected because the primary is alive
   * @param primaryAlive whether the proposal is rejected because the primary is alive
   */
  record Rejected(long baseEpoch, Ballot ballot, Ballot promised, boolean primaryAlive)
      implements ReplicaMessage {}

  /**
   * The state that the receiver must install: the initial state of a term, or the state from which
   * a node outside the view, or a node that lost messages, continues.
   *
   * @param term the term of the primary
   * @param state the complete state, or the records that the receiver is not known to have
   */
  record Install(PrimaryTerm term, StateTransfer state) implements ReplicaMessage {}

  /**
   * One record to append.
   *
   * @param term the term of the primary
   * @param sequence the sequence number of the record
   * @param committedSequence the sequence number of the last committed record
   * @param record the bytes of the record
   */
  record Append(PrimaryTerm term, long sequence, long committedSequence, byte[] record)
      implements ReplicaMessage {}

  /**
   * The acknowledgement that all records up to a sequence number are on the sender's disk.
   *
   * @param term the term whose state is installed on disk
   * @param sequence the sequence number of the last record on disk
   */
  record Synced(PrimaryTerm term, long sequence) implements ReplicaMessage {}

  /**
   * The resignation of the primary in favor of the receiver.
   *
   * @param epoch the epoch of the primary's view
   */
  record TransferLeadership(long epoch) implements ReplicaMessage {}
}
