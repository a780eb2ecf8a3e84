package slateslip.coordination;

/**
 * What a node tells of itself.
 *
 * @param decidedEpoch epoch of the newest decided view that it knows
 * @param acceptedLater whether it has accepted a view after that one
 * @param received tenure whose installation it has received last
 * @param receivedSequence last record received
 * @param durable tenure whose installation it has on disk
 * @param durableSequence last record that it has on disk
 * @param committedSequence records that it knows to be committed
 * @param fit whether its disk takes writes within the bound, and its process is not about to end
 */
public record ReplicaStatus(
    long decidedEpoch,
    boolean acceptedLater,
    PrimaryTerm received,
    long receivedSequence,
    PrimaryTerm durable,
    long durableSequence,
    long committedSequence,
    boolean fit) {

  /** The same with newer news of the disk. */
  ReplicaStatus withDurable(PrimaryTerm tenure, long sequence) {
    return new ReplicaStatus(
        decidedEpoch,
        acceptedLater,
        received,
        receivedSequence,
        tenure,
        sequence,
        committedSequence,
        fit);
  }
}
