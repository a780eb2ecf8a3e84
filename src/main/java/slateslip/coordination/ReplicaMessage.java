package slateslip.coordination;

/** What core nodes say to each other about the control state. */
public sealed interface ReplicaMessage {
  /**
   * Of a node that hears no primary: asks for the newest view, and to be taken in.
   *
   * @param view newest decided view that it knows
   * @param status its status
   */
  record Hello(View view, ReplicaStatus status) implements ReplicaMessage {}

  /**
   * Of the primary, in regular rounds and at each commit or confirmation.
   *
   * @param term of the primary
   * @param round rises with each round of heartbeats
   * @param committedSequence records committed
   * @param active whether the primary hears a majority of the witnesses and means to go on
   * @param view the view, or {@link View#NONE} if the receiver is known to have it
   */
  record Heartbeat(PrimaryTerm term, long round, long committedSequence, boolean active, View view)
      implements ReplicaMessage {}

  /**
   * Response to a heartbeat, once it has been handled.
   *
   * @param term of the heartbeat
   * @param round of the heartbeat
   * @param status of the replying node
   */
  record HeartbeatReply(PrimaryTerm term, long round, ReplicaStatus status)
      implements ReplicaMessage {}

  /**
   * A view was decided.
   *
   * @param view which
   */
  record Decided(View view) implements ReplicaMessage {}

  /**
   * First phase of a proposal for the epoch after {@code base}.
   *
   * @param base newest decided view that the proposer knows
   * @param ballot its ballot
   * @param primaryConsents whether the base's primary itself proposes or has resigned
   */
  record Prepare(View base, Ballot ballot, boolean primaryConsents) implements ReplicaMessage {}

  /**
   * Promise, on disk, to take no lower ballot.
   *
   * @param baseEpoch epoch of the base
   * @param ballot the promised one
   * @param acceptedBallot ballot of the value accepted before, or none
   * @param accepted that value, or none
   * @param status of the promising node
   */
  record Promise(
      long baseEpoch, Ballot ballot, Ballot acceptedBallot, View accepted, ReplicaStatus status)
      implements ReplicaMessage {}

  /**
   * Second phase of a proposal.
   *
   * @param baseEpoch epoch of the base
   * @param ballot its ballot
   * @param value the proposed view
   */
  record Accept(long baseEpoch, Ballot ballot, View value) implements ReplicaMessage {}

  /**
   * The value of this ballot is accepted, on disk.
   *
   * @param baseEpoch epoch of the base
   * @param ballot its ballot
   */
  record Accepted(long baseEpoch, Ballot ballot) implements ReplicaMessage {}

  /**
   * A proposal is refused.
   *
   * @param baseEpoch epoch of the base
   * @param ballot the refused one
   * @param promised the higher one, or none
   * @param primaryAlive whether the refusing node hears the primary
   */
  record Rejected(long baseEpoch, Ballot ballot, Ballot promised, boolean primaryAlive)
      implements ReplicaMessage {}

  /**
   * The state that a view begins with, or that a node outside of it follows from.
   *
   * @param term of the primary
   * @param state whole, or from what the receiver is known to have
   */
  record Install(PrimaryTerm term, StateTransfer state) implements ReplicaMessage {}

  /**
   * One record.
   *
   * @param term of the primary
   * @param sequence of the record
   * @param committedSequence records committed
   * @param record its bytes
   */
  record Append(PrimaryTerm term, long sequence, long committedSequence, byte[] record)
      implements ReplicaMessage {}

  /**
   * Everything up to a sequence number is on disk.
   *
   * @param term installed on disk
   * @param sequence last record on disk
   */
  record Synced(PrimaryTerm term, long sequence) implements ReplicaMessage {}

  /**
   * The primary resigns in favour of the receiver.
   *
   * @param epoch the view's
   */
  record TransferLeadership(long epoch) implements ReplicaMessage {}
}
