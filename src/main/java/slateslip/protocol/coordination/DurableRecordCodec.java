package slateslip.protocol.coordination;

import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import slateslip.coordination.Ballot;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.NodeId;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.View;
import slateslip.coordination.WitnessState;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.generated.EntryRecordDecoder;
import slateslip.protocol.coordination.generated.EntryRecordEncoder;
import slateslip.protocol.coordination.generated.InstallationRecordDecoder;
import slateslip.protocol.coordination.generated.InstallationRecordEncoder;
import slateslip.protocol.coordination.generated.MessageHeaderDecoder;
import slateslip.protocol.coordination.generated.MessageHeaderEncoder;
import slateslip.protocol.coordination.generated.SnapshotRecordDecoder;
import slateslip.protocol.coordination.generated.SnapshotRecordEncoder;
import slateslip.protocol.coordination.generated.VoteRecordDecoder;
import slateslip.protocol.coordination.generated.VoteRecordEncoder;

/** Encodes and decodes the SBE records that replicas write to disk. */
public final class DurableRecordCodec {
  private static final int INITIAL_BYTES = 512;

  private DurableRecordCodec() {}

  /** Encodes a record, including the message header. */
  public static byte[] encode(DurableRecord record) {
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
    byte[] bytes = new byte[write(record, buffer)];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  /**
   * Decodes a record that occupies the whole array. Invalid bytes yield {@link Decoded.Malformed}.
   */
  public static Decoded<DurableRecord> decode(byte[] bytes) {
    return MessageReader.read(bytes, ReplicaMessageCodec.SCHEMA_ID, DurableRecordCodec::read);
  }

  private static int write(DurableRecord record, ExpandableArrayBuffer buffer) {
    if (record instanceof DurableRecord.Snapshot snapshot) {
      return write(snapshot, buffer);
    }
    if (record instanceof DurableRecord.Vote vote) {
      return write(vote, buffer);
    }
    if (record instanceof DurableRecord.Installation installation) {
      return write(installation, buffer);
    }
    return write((DurableRecord.Entry) record, buffer);
  }

  private static int write(DurableRecord.Snapshot record, ExpandableArrayBuffer buffer) {
    SnapshotRecordEncoder encoder =
        new SnapshotRecordEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    FieldCodec.put(encoder.self(), record.self());
    FieldCodec.put(encoder.promised(), record.witness().promised());
    FieldCodec.put(encoder.acceptedBallot(), record.witness().acceptedBallot());
    FieldCodec.put(encoder.installed(), record.installedTerm());
    byte[] decided = NestedBlocks.encode(record.witness().decided());
    encoder.putDecided(decided, 0, decided.length);
    byte[] accepted = NestedBlocks.encode(record.witness().accepted());
    encoder.putAccepted(accepted, 0, accepted.length);
    byte[] state = NestedBlocks.encode(record.state());
    encoder.putState(state, 0, state.length);
    return encoder.limit();
  }

  private static int write(DurableRecord.Vote record, ExpandableArrayBuffer buffer) {
    VoteRecordEncoder encoder =
        new VoteRecordEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    FieldCodec.put(encoder.promised(), record.witness().promised());
    FieldCodec.put(encoder.acceptedBallot(), record.witness().acceptedBallot());
    byte[] decided = NestedBlocks.encode(record.witness().decided());
    encoder.putDecided(decided, 0, decided.length);
    byte[] accepted = NestedBlocks.encode(record.witness().accepted());
    encoder.putAccepted(accepted, 0, accepted.length);
    return encoder.limit();
  }

  private static int write(DurableRecord.Installation record, ExpandableArrayBuffer buffer) {
    InstallationRecordEncoder encoder =
        new InstallationRecordEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    FieldCodec.put(encoder.term(), record.term());
    byte[] state = NestedBlocks.encode(record.state());
    encoder.putState(state, 0, state.length);
    return encoder.limit();
  }

  private static int write(DurableRecord.Entry record, ExpandableArrayBuffer buffer) {
    EntryRecordEncoder encoder =
        new EntryRecordEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    encoder.sequence(record.sequence()).committedSequence(record.committedSequence());
    encoder.putRecord(record.record(), 0, record.record().length);
    return encoder.limit();
  }

  private static DurableRecord read(DirectBuffer buffer, int template) {
    return switch (template) {
      case SnapshotRecordDecoder.TEMPLATE_ID -> readSnapshot(buffer);
      case VoteRecordDecoder.TEMPLATE_ID -> readVote(buffer);
      case InstallationRecordDecoder.TEMPLATE_ID -> readInstallation(buffer);
      case EntryRecordDecoder.TEMPLATE_ID -> readEntry(buffer);
      default -> null;
    };
  }

  private static DurableRecord readSnapshot(DirectBuffer buffer) {
    MessageHeaderDecoder header = new MessageHeaderDecoder();
    SnapshotRecordDecoder decoder =
        new SnapshotRecordDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(header, SnapshotRecordDecoder.BLOCK_LENGTH);
    NodeId self = FieldCodec.node(decoder.self());
    Ballot promised = FieldCodec.ballot(decoder.promised());
    Ballot acceptedBallot = FieldCodec.ballot(decoder.acceptedBallot());
    PrimaryTerm installedTerm = FieldCodec.term(decoder.installed());
    byte[] decidedBytes =
        FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.decidedLength());
    decoder.getDecided(decidedBytes, 0, decidedBytes.length);
    byte[] acceptedBytes =
        FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.acceptedLength());
    decoder.getAccepted(acceptedBytes, 0, acceptedBytes.length);
    byte[] stateBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.stateLength());
    decoder.getState(stateBytes, 0, stateBytes.length);
    WitnessState witness = witness(promised, acceptedBallot, decidedBytes, acceptedBytes);
    StateTransfer state = NestedBlocks.state(stateBytes);
    return new DurableRecord.Snapshot(self, witness, installedTerm, state);
  }

  private static DurableRecord readVote(DirectBuffer buffer) {
    MessageHeaderDecoder header = new MessageHeaderDecoder();
    VoteRecordDecoder decoder = new VoteRecordDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(header, VoteRecordDecoder.BLOCK_LENGTH);
    Ballot promised = FieldCodec.ballot(decoder.promised());
    Ballot acceptedBallot = FieldCodec.ballot(decoder.acceptedBallot());
    byte[] decidedBytes =
        FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.decidedLength());
    decoder.getDecided(decidedBytes, 0, decidedBytes.length);
    byte[] acceptedBytes =
        FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.acceptedLength());
    decoder.getAccepted(acceptedBytes, 0, acceptedBytes.length);
    return new DurableRecord.Vote(witness(promised, acceptedBallot, decidedBytes, acceptedBytes));
  }

  private static WitnessState witness(
      Ballot promised, Ballot acceptedBallot, byte[] decidedBytes, byte[] acceptedBytes) {
    View decided = NestedBlocks.view(decidedBytes);
    View accepted = NestedBlocks.view(acceptedBytes);
    return new WitnessState(decided, promised, acceptedBallot, accepted);
  }

  private static DurableRecord readInstallation(DirectBuffer buffer) {
    MessageHeaderDecoder header = new MessageHeaderDecoder();
    InstallationRecordDecoder decoder =
        new InstallationRecordDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(header, InstallationRecordDecoder.BLOCK_LENGTH);
    PrimaryTerm term = FieldCodec.term(decoder.term());
    byte[] stateBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.stateLength());
    decoder.getState(stateBytes, 0, stateBytes.length);
    return new DurableRecord.Installation(term, NestedBlocks.state(stateBytes));
  }

  private static DurableRecord readEntry(DirectBuffer buffer) {
    MessageHeaderDecoder header = new MessageHeaderDecoder();
    EntryRecordDecoder decoder = new EntryRecordDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(header, EntryRecordDecoder.BLOCK_LENGTH);
    long sequence = decoder.sequence();
    long committedSequence = decoder.committedSequence();
    byte[] record = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.recordLength());
    decoder.getRecord(record, 0, record.length);
    return new DurableRecord.Entry(sequence, committedSequence, record);
  }

  private static void check(MessageHeaderDecoder header, int knownLength) {
    FieldCodec.checkBlock(
        header.blockLength(), header.version(), knownLength, MessageHeaderDecoder.SCHEMA_VERSION);
  }
}
