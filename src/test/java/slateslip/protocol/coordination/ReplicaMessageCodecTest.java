package slateslip.protocol.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import slateslip.coordination.Ballot;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.ReplicaStatus;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.View;
import slateslip.coordination.ViewMember;
import slateslip.coordination.WitnessState;
import slateslip.protocol.Decoded;

final class ReplicaMessageCodecTest {
  static final NodeId ONE = new NodeId(NodeAddress.parse("10.1.0.3"), 0);
  static final NodeId TWO = new NodeId(NodeAddress.parse("255.2.0.20"), Long.MAX_VALUE);
  static final View VIEW =
      new View(7, TWO, List.of(new ViewMember(ONE, 1), new ViewMember(TWO, 6)), List.of(ONE, TWO));
  static final PrimaryTerm TERM = new PrimaryTerm(7, 3);
  static final Ballot BALLOT = new Ballot(12, ONE);
  static final ReplicaStatus STATUS =
      new ReplicaStatus(
          7,
          true,
          TERM,
          42,
          new PrimaryTerm(6, 1),
          41,
          40,
          false,
          new NodeLocation("faro-ñ", "sur"));
  static final StateTransfer STATE =
      new StateTransfer(40, true, new byte[] {1, 2, 3}, List.of(new byte[0], new byte[] {9}), 41);

  static List<ReplicaMessage> messages() {
    return List.of(
        new ReplicaMessage.Hello(View.NONE, STATUS),
        new ReplicaMessage.Heartbeat(TERM, 5, 41, true, VIEW),
        new ReplicaMessage.HeartbeatReply(TERM, 5, STATUS),
        new ReplicaMessage.Decided(VIEW),
        new ReplicaMessage.Prepare(VIEW, BALLOT, true),
        new ReplicaMessage.Promise(7, BALLOT, Ballot.NONE, View.NONE, STATUS),
        new ReplicaMessage.Accept(7, BALLOT, VIEW),
        new ReplicaMessage.Accepted(7, BALLOT),
        new ReplicaMessage.Rejected(7, BALLOT, new Ballot(13, TWO), false),
        new ReplicaMessage.Install(TERM, STATE),
        new ReplicaMessage.Append(TERM, 42, 41, new byte[] {4, 5}),
        new ReplicaMessage.Synced(TERM, 42),
        new ReplicaMessage.TransferLeadership(7));
  }

  private static List<DurableRecord> records() {
    WitnessState witness = new WitnessState(VIEW, BALLOT, BALLOT, VIEW);
    return List.of(
        new DurableRecord.Snapshot(ONE, witness, TERM, STATE),
        new DurableRecord.Vote(WitnessState.NONE),
        new DurableRecord.Installation(TERM, STATE),
        new DurableRecord.Entry(42, 41, new byte[] {7}));
  }

  static ReplicaMessage decoded(byte[] bytes) {
    Decoded<ReplicaFrame> decoded = ReplicaMessageCodec.decode(bytes);
    assertThat(decoded, instanceOf(Decoded.Message.class));
    return ((Decoded.Message<ReplicaFrame>) decoded).value().message();
  }

  @Test
  void everyMessageIsUnchangedByEncodingAndDecoding() {
    for (ReplicaMessage message : messages()) {
      byte[] bytes = ReplicaMessageCodec.encode(TWO, message);
      Decoded<ReplicaFrame> decoded = ReplicaMessageCodec.decode(bytes);
      assertThat(decoded, instanceOf(Decoded.Message.class));
      ReplicaFrame frame = ((Decoded.Message<ReplicaFrame>) decoded).value();
      assertThat(frame.from(), is(TWO));
      assertThat(frame.message(), instanceOf(message.getClass()));
      assertThat(message.toString(), ReplicaMessageCodec.encode(TWO, frame.message()), is(bytes));
    }
  }

  @Test
  void contentsAreUnchangedByEncodingAndDecoding() {
    ReplicaMessage.Promise promise = new ReplicaMessage.Promise(7, BALLOT, BALLOT, VIEW, STATUS);
    assertThat(decoded(ReplicaMessageCodec.encode(ONE, promise)), is(promise));
    ReplicaMessage.Install install =
        (ReplicaMessage.Install)
            decoded(ReplicaMessageCodec.encode(ONE, new ReplicaMessage.Install(TERM, STATE)));
    assertThat(install.state().base(), is(STATE.base()));
    assertThat(install.state().records().get(1), is(new byte[] {9}));
    assertThat(install.state().committedSequence(), is(41L));
  }

  @Test
  void everyRecordIsUnchangedByEncodingAndDecoding() {
    for (DurableRecord record : records()) {
      byte[] bytes = DurableRecordCodec.encode(record);
      Decoded<DurableRecord> decoded = DurableRecordCodec.decode(bytes);
      assertThat(decoded, instanceOf(Decoded.Message.class));
      DurableRecord value = ((Decoded.Message<DurableRecord>) decoded).value();
      assertThat(DurableRecordCodec.encode(value), equalTo(bytes));
    }
  }

  @Test
  void truncatedMessageIsMalformed() {
    for (byte[] bytes : allEncoded()) {
      for (int length = 0; length < bytes.length; length++) {
        byte[] truncated = Arrays.copyOf(bytes, length);
        assertThat(ReplicaMessageCodec.decode(truncated), instanceOf(Decoded.Malformed.class));
      }
    }
  }

  @Test
  void damagedMessagesNeverCauseExceptions() {
    SplittableRandom random = new SplittableRandom(1);
    for (byte[] bytes : allEncoded()) {
      for (int i = 0; i < 2_000; i++) {
        byte[] harmed = bytes.clone();
        int position = random.nextInt(harmed.length);
        harmed[position] = (byte) (random.nextBoolean() ? 0xff : random.nextInt());
        ReplicaMessageCodec.decode(harmed);
        DurableRecordCodec.decode(harmed);
      }
    }
    byte[] noise = new byte[300];
    for (int i = 0; i < 20_000; i++) {
      random.nextBytes(noise);
      ReplicaMessageCodec.decode(noise);
    }
  }

  @Test
  void hugeLengthIsMalformedWithoutAllocation() {
    byte[] bytes =
        ReplicaMessageCodec.encode(ONE, new ReplicaMessage.Append(TERM, 1, 0, new byte[4]));
    int lengthField = bytes.length - 8;
    bytes[lengthField + 3] = 0x7f;
    assertThat(ReplicaMessageCodec.decode(bytes), instanceOf(Decoded.Malformed.class));
  }

  @Test
  void otherSchemaOrTemplateIsUnknown() {
    byte[] bytes = ReplicaMessageCodec.encode(ONE, new ReplicaMessage.TransferLeadership(1));
    byte[] otherKind = bytes.clone();
    otherKind[2] = 99;
    assertThat(ReplicaMessageCodec.decode(otherKind), instanceOf(Decoded.Unknown.class));
    byte[] otherSchema = bytes.clone();
    otherSchema[4] = 1;
    assertThat(ReplicaMessageCodec.decode(otherSchema), instanceOf(Decoded.Unknown.class));
  }

  private static List<byte[]> allEncoded() {
    List<byte[]> all = new ArrayList<>();
    messages().forEach(message -> all.add(ReplicaMessageCodec.encode(ONE, message)));
    return all;
  }
}
