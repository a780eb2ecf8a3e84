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

/** Views and states inside of messages and records: each a message of its own. */
final class NestedBlocks {
  private static final byte[] NOTHING = new byte[0];
  private static final int SMALL = 256;

  private NestedBlocks() {}

  /** A view's message; empty for {@link View#NONE}. */
  static byte[] encode(View view) {
    if (view.isNone()) {
      return NOTHING;
    }
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(SMALL);
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
   * Reads a view.
   *
   * @throws RuntimeException of the kinds that {@link slateslip.protocol.MessageReader} turns into
   *     values
   */
  static View view(byte[] bytes) {
    if (bytes.length == 0) {
      return View.NONE;
    }
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    expect(buffer, ViewBlockDecoder.TEMPLATE_ID);
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

  /** A state's message. */
  static byte[] encode(StateTransfer state) {
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(SMALL + (int) state.bytes());
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
   * Reads a state.
   *
   * @throws RuntimeException of the kinds that {@link slateslip.protocol.MessageReader} turns into
   *     values
   */
  static StateTransfer state(byte[] bytes) {
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    expect(buffer, StateTransferBlockDecoder.TEMPLATE_ID);
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

  private static void expect(DirectBuffer buffer, int template) {
    MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID || header.templateId() != template) {
      throw new IllegalArgumentException("no message " + template + " inside of another");
    }
  }

  private static byte[] copy(ExpandableArrayBuffer buffer, int length) {
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }
}
