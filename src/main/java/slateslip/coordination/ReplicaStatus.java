package slateslip.coordination;

/**
 * What a node tells of itself.
 *
 * @param decidedEpoch epoch of the newest decided view that it knows
 * @param acceptedNewerView whether it has accepted a view after that one
 * @param receivedTerm term whose installation it has received last
 * @param receivedSequence last record received
 * @param durableTerm term whose installation it has on disk
 * @param durableSequence last record that it has on disk
 * @param committedSequence records that it knows to be committed
 * @param healthy whether its disk takes writes within the bound, and its process is not about to
 *     end
 */
public record ReplicaStatus(
    long decidedEpoch,
    boolean acceptedNewerView,
    PrimaryTerm receivedTerm,
    long receivedSequence,
    PrimaryTerm durableTerm,
    long durableSequence,
    long committedSequence,
    boolean healthy) {

  /** The same with a newer durable position. */
  ReplicaStatus withDurable(PrimaryTerm term, long sequence) {
    return new ReplicaStatus(
        decidedEpoch,
        acceptedNewerView,
        receivedTerm,
        receivedSequence,
        term,
        sequence,
        committedSequence,
        healthy);
  }
}
