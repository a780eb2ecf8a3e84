package slateslip.coordination;

/** What core nodes say to each other about the control state. */
public sealed interface PeerMessage {
  /**
   * Of a node that hears no primary: asks for the newest view, and to be taken in.
   *
   * @param view newest decided view that it knows
   * @param status its status
   */
  record Hello(View view, PeerStatus status) implements PeerMessage {}

  /**
   * Of the primary, in regular rounds and at each commit or confirmation.
   *
   * @param tenure of the primary
   * @param round rises with each round of heartbeats
   * @param committedSequence records committed
   * @param active whether the primary hears a majority of the witnesses and means to go on
   * @param view the view, or {@link View#NONE} if the receiver is known to have it
   */
  record Heartbeat(Tenure tenure, long round, long committedSequence, boolean active, View view)
      implements PeerMessage {}

  /**
   * Answer to a heartbeat, once it has been handled.
   *
   * @param tenure of the heartbeat
   * @param round of the heartbeat
   * @param status of the replying node
   */
  record HeartbeatReply(Tenure tenure, long round, PeerStatus status) implements PeerMessage {}

  /**
   * A view was decided.
   *
   * @param view which
   */
  record Decided(View view) implements PeerMessage {}

  /**
   * First phase of a proposal for the epoch after {@code base}.
   *
   * @param base newest decided view that the proposer knows
   * @param ballot its ballot
   * @param consented whether the base's primary itself proposes or has resigned
   */
  record Prepare(View base, Ballot ballot, boolean consented) implements PeerMessage {}

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
      long baseEpoch, Ballot ballot, Ballot acceptedBallot, View accepted, PeerStatus status)
      implements PeerMessage {}

  /**
   * Second phase of a proposal.
   *
   * @param baseEpoch epoch of the base
   * @param ballot its ballot
   * @param value the proposed view
   */
  record Accept(long baseEpoch, Ballot ballot, View value) implements PeerMessage {}

  /**
   * The value of this ballot is accepted, on disk.
   *
   * @param baseEpoch epoch of the base
   * @param ballot its ballot
   */
  record Accepted(long baseEpoch, Ballot ballot) implements PeerMessage {}

  /**
   * A proposal is refused.
   *
   * @param baseEpoch epoch of the base
   * @param ballot the refused one
   * @param promised the higher one, or none
   * @param primaryAlive whether the refusing node hears the primary
   */
  record Refused(long baseEpoch, Ballot ballot, Ballot promised, boolean primaryAlive)
      implements PeerMessage {}

  /**
   * The state that a view begins with, or that a node outside of it follows from.
   *
   * @param tenure of the primary
   * @param state whole, or from what the receiver is known to have
   */
  record Install(Tenure tenure, StateTransfer state) implements PeerMessage {}

  /**
   * One record.
   *
   * @param tenure of the primary
   * @param sequence of the record
   * @param committedSequence records committed
   * @param record its bytes
   */
  record Append(Tenure tenure, long sequence, long committedSequence, byte[] record)
      implements PeerMessage {}

  /**
   * Everything up to a sequence number is on disk.
   *
   * @param tenure installed on disk
   * @param sequence last record on disk
   */
  record Synced(Tenure tenure, long sequence) implements PeerMessage {}

  /**
   * The primary resigns in favour of the receiver.
   *
   * @param epoch the view's
   */
  record TakeOver(long epoch) implements PeerMessage {}
}
