package slateslip.coordination;

/**
 * What a node tells of itself.
 *
 * @param decidedEpoch epoch of the newest decided view that it knows
 * @param acceptedLater whether it has accepted a view after that one
 * @param installedEpoch newest epoch whose state it has on disk
 * @param receivedIncarnation primary's life whose installation it has received last
 * @param receivedSequence last record received from that life
 * @param durableIncarnation primary's life whose installation it has on disk
 * @param durableSequence last record that it has on disk
 * @param committedSequence records that it knows to be committed
 * @param diskHealthy whether its disk takes writes within the bound
 */
public record PeerStatus(
    long decidedEpoch,
    boolean acceptedLater,
    long installedEpoch,
    long receivedIncarnation,
    long receivedSequence,
    long durableIncarnation,
    long durableSequence,
    long committedSequence,
    boolean diskHealthy) {}
