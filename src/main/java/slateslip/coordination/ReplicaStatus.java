package slateslip.coordination;

/**
 * The status that a node reports to its peers.
 *
 * @param decidedEpoch the epoch of the newest decided view that the node knows
 * @param acceptedNewerView whether the witness of the node has accepted a view of a later epoch
 * @param receivedTerm the newest term whose state the node has installed in memory
 * @param receivedSequence the sequence number of the last record that the node has received
 * @param durableTerm the term whose state the node has installed on disk
 * @param durableSequence the sequence number of the last record that the node has on disk
 * @param committedSequence the sequence number of the last record that the node knows to be
 *     committed
 * @param healthy whether the disk of the node accepts writes within the time limit and the process
 *     of the node has not been asked to end
 * @param location the zone and the region of the node; {@link NodeLocation#UNKNOWN} if the node
 *     runs an earlier program version
 */
public record ReplicaStatus(
    long decidedEpoch,
    boolean acceptedNewerView,
    PrimaryTerm receivedTerm,
    long receivedSequence,
    PrimaryTerm durableTerm,
    long durableSequence,
    long committedSequence,
    boolean healthy,
    NodeLocation location) {

  /** Returns a copy of this status with another durable position. */
  ReplicaStatus withDurable(PrimaryTerm term, long sequence) {
    return new ReplicaStatus(
        decidedEpoch,
        acceptedNewerView,
        receivedTerm,
        receivedSequence,
        term,
        sequence,
        committedSequence,
        healthy,
        location);
  }

  /** Returns a copy of this status with a location. */
  public ReplicaStatus withLocation(NodeLocation reported) {
    return new ReplicaStatus(
        decidedEpoch,
        acceptedNewerView,
        receivedTerm,
        receivedSequence,
        durableTerm,
        durableSequence,
        committedSequence,
        healthy,
        reported);
  }
}
