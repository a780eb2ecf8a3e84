package slateslip.protocol.coordination;

import org.agrona.DirectBuffer;
import slateslip.coordination.Ballot;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.ReplicaStatus;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.generated.BallotNumberDecoder;
import slateslip.protocol.coordination.generated.BallotNumberEncoder;
import slateslip.protocol.coordination.generated.Flag;
import slateslip.protocol.coordination.generated.NodeIdentityDecoder;
import slateslip.protocol.coordination.generated.NodeIdentityEncoder;
import slateslip.protocol.coordination.generated.PrimaryTermNumberDecoder;
import slateslip.protocol.coordination.generated.PrimaryTermNumberEncoder;
import slateslip.protocol.coordination.generated.StatusReportDecoder;
import slateslip.protocol.coordination.generated.StatusReportEncoder;

/** Encodes and decodes composite fields that several messages share. */
final class FieldCodec {
  private static final int LENGTH_BYTES = 4;
  private static final short YES = 1;

  private FieldCodec() {}

  static void put(NodeIdentityEncoder encoder, NodeId node) {
    encoder.ipv4(node.address().ipv4()).diskId(node.diskId());
  }

  static NodeId node(NodeIdentityDecoder decoder) {
    return new NodeId(new NodeAddress(decoder.ipv4()), decoder.diskId());
  }

  static void put(BallotNumberEncoder encoder, Ballot ballot) {
    encoder
        .round(ballot.round())
        .ipv4(ballot.proposer().address().ipv4())
        .diskId(ballot.proposer().diskId());
  }

  static Ballot ballot(BallotNumberDecoder decoder) {
    NodeId proposer = new NodeId(new NodeAddress(decoder.ipv4()), decoder.diskId());
    return new Ballot(decoder.round(), proposer);
  }

  static void put(PrimaryTermNumberEncoder encoder, PrimaryTerm term) {
    encoder.epoch(term.epoch()).incarnation(term.incarnation());
  }

  static PrimaryTerm term(PrimaryTermNumberDecoder decoder) {
    return new PrimaryTerm(decoder.epoch(), decoder.incarnation());
  }

  static void put(StatusReportEncoder encoder, ReplicaStatus status) {
    encoder
        .decidedEpoch(status.decidedEpoch())
        .receivedEpoch(status.receivedTerm().epoch())
        .receivedIncarnation(status.receivedTerm().incarnation())
        .receivedSequence(status.receivedSequence())
        .durableEpoch(status.durableTerm().epoch())
        .durableIncarnation(status.durableTerm().incarnation())
        .durableSequence(status.durableSequence())
        .committedSequence(status.committedSequence())
        .acceptedNewerView(flag(status.acceptedNewerView()).value())
        .diskHealthy(flag(status.healthy()).value());
  }

  /** Returns a status without the location, which is not part of the composite field. */
  static ReplicaStatus status(StatusReportDecoder decoder) {
    return new ReplicaStatus(
        decoder.decidedEpoch(),
        decoder.acceptedNewerView() == YES,
        new PrimaryTerm(decoder.receivedEpoch(), decoder.receivedIncarnation()),
        decoder.receivedSequence(),
        new PrimaryTerm(decoder.durableEpoch(), decoder.durableIncarnation()),
        decoder.durableSequence(),
        decoder.committedSequence(),
        decoder.diskHealthy() == YES,
        NodeLocation.UNKNOWN);
  }

  static Flag flag(boolean value) {
    return value ? Flag.YES : Flag.NO;
  }

  static boolean isSet(Flag flag) {
    return flag == Flag.YES;
  }

  /**
   * Allocates an array for the document that is next in a message.
   *
   * @param limit offset of the length field of the document
   * @param length length of the document according to the message
   * @throws IndexOutOfBoundsException if the document does not fit into the message
   */
  static byte[] allocateBytes(DirectBuffer buffer, int limit, int length) {
    return new byte[MessageReader.checkedLength(buffer, limit + LENGTH_BYTES, length)];
  }

  /**
   * Checks that the fixed-size block of a message is at least as long as its schema version
   * requires. The decoder would read beyond the end of a shorter block.
   *
   * @throws IllegalArgumentException if the block is too short
   */
  static void checkBlock(int length, int version, int knownLength, int knownVersion) {
    if (version >= knownVersion && length < knownLength) {
      throw new IllegalArgumentException(
          "message block of " + length + " bytes is too short for its schema version");
    }
  }
}
