package slateslip.protocol.coordination;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import slateslip.coordination.NodeId;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.View;
import slateslip.coordination.ViewMember;
import slateslip.protocol.coordination.generated.MessageHeaderDecoder;
import slateslip.protocol.coordination.generated.MessageHeaderEncoder;
import slateslip.protocol.coordination.generated.StateTransferBlockDecoder;
import slateslip.protocol.coordination.generated.StateTransferBlockEncoder;
import slateslip.protocol.coordination.generated.ViewBlockDecoder;
import slateslip.protocol.coordination.generated.ViewBlockEncoder;

/**
 * Encodes and decodes views and state transfers that are nested in messages and records. Each
 * nested block is an SBE message with its own header.
 */
final class NestedBlocks {
  private static final byte[] EMPTY = new byte[0];
  private static final int INITIAL_BYTES = 256;

  private NestedBlocks() {}

  /** Encodes a view. {@link View#NONE} is encoded as an empty array. */
  static byte[] encode(View view) {
    if (view.isNone()) {
      return EMPTY;
    }
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
    ViewBlockEncoder encoder =
        new ViewBlockEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    encoder.epoch(view.epoch());
    FieldCodec.put(encoder.primary(), view.primary());
    ViewBlockEncoder.MembersEncoder members = encoder.membersCount(view.members().size());
    for (ViewMember member : view.members()) {
      members.next().sinceEpoch(member.sinceEpoch());
      FieldCodec.put(members.node(), member.node());
    }
    ViewBlockEncoder.WitnessesEncoder witnesses = encoder.witnessesCount(view.witnesses().size());
    for (NodeId witness : view.witnesses()) {
      FieldCodec.put(witnesses.next().node(), witness);
    }
    return copy(buffer, encoder.limit());
  }

  /**
   * Decodes a view.
   *
   * @throws IndexOutOfBoundsException if the bytes are incomplete
   * @throws IllegalArgumentException if the bytes are not a view; {@link
   *     slateslip.protocol.MessageReader} converts both exceptions to results
   */
  static View view(byte[] bytes) {
    if (bytes.length == 0) {
      return View.NONE;
    }
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    checkTemplate(buffer, ViewBlockDecoder.TEMPLATE_ID);
    ViewBlockDecoder decoder = new ViewBlockDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, new MessageHeaderDecoder());
    long epoch = decoder.epoch();
    NodeId primary = FieldCodec.node(decoder.primary());
    List<ViewMember> members = new ArrayList<>();
    for (ViewBlockDecoder.MembersDecoder member : decoder.members()) {
      members.add(new ViewMember(FieldCodec.node(member.node()), member.sinceEpoch()));
    }
    List<NodeId> witnesses = new ArrayList<>();
    for (ViewBlockDecoder.WitnessesDecoder witness : decoder.witnesses()) {
      witnesses.add(FieldCodec.node(witness.node()));
    }
    return new View(epoch, primary, members, witnesses);
  }

  /** Encodes a state transfer. */
  static byte[] encode(StateTransfer state) {
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES + (int) state.bytes());
    StateTransferBlockEncoder encoder =
        new StateTransferBlockEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    encoder
        .baseSequence(state.baseSequence())
        .committedSequence(state.committedSequence())
        .complete(FieldCodec.flag(state.complete()));
    StateTransferBlockEncoder.RecordsEncoder records = encoder.recordsCount(state.records().size());
    for (byte[] record : state.records()) {
      records.next().putRecord(record, 0, record.length);
    }
    encoder.putBase(state.base(), 0, state.base().length);
    return copy(buffer, encoder.limit());
  }

  /**
   * Decodes a state transfer.
   *
   * @throws IndexOutOfBoundsException if the bytes are incomplete
   * @throws IllegalArgumentException if the bytes are not a state transfer; {@link
   *     slateslip.protocol.MessageReader} converts both exceptions to results
   */
  static StateTransfer state(byte[] bytes) {
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    checkTemplate(buffer, StateTransferBlockDecoder.TEMPLATE_ID);
    StateTransferBlockDecoder decoder = new StateTransferBlockDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, new MessageHeaderDecoder());
    long baseSequence = decoder.baseSequence();
    long committedSequence = decoder.committedSequence();
    boolean complete = FieldCodec.isSet(decoder.complete());
    List<byte[]> records = new ArrayList<>();
    for (StateTransferBlockDecoder.RecordsDecoder next : decoder.records()) {
      byte[] record = FieldCodec.allocateBytes(buffer, decoder.limit(), next.recordLength());
      next.getRecord(record, 0, record.length);
      records.add(record);
    }
    byte[] base = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.baseLength());
    decoder.getBase(base, 0, base.length);
    return new StateTransfer(baseSequence, complete, base, records, committedSequence);
  }

  private static void checkTemplate(DirectBuffer buffer, int template) {
    MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID || header.templateId() != template) {
      throw new IllegalArgumentException(
          "expected a nested message with template " + template + " of the coordination schema");
    }
  }

  private static byte[] copy(ExpandableArrayBuffer buffer, int length) {
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }
}
