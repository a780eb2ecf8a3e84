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
import slateslip.coordination.PeerMessage;
import slateslip.coordination.PeerStatus;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.Tenure;
import slateslip.coordination.View;
import slateslip.coordination.ViewMember;
import slateslip.coordination.WitnessState;
import slateslip.protocol.Decoded;

final class PeerMessageCodecTest {
  static final NodeId ONE = new NodeId(NodeAddress.parse("10.1.0.3"), 0);
  static final NodeId TWO = new NodeId(NodeAddress.parse("255.2.0.20"), Long.MAX_VALUE);
  static final View VIEW =
      new View(7, TWO, List.of(new ViewMember(ONE, 1), new ViewMember(TWO, 6)), List.of(ONE, TWO));
  static final Tenure TENURE = new Tenure(7, 3);
  static final Ballot BALLOT = new Ballot(12, ONE);
  static final PeerStatus STATUS =
      new PeerStatus(7, true, TENURE, 42, new Tenure(6, 1), 41, 40, false);
  static final StateTransfer STATE =
      new StateTransfer(40, true, new byte[] {1, 2, 3}, List.of(new byte[0], new byte[] {9}), 41);

  static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.Hello(View.NONE, STATUS),
        new PeerMessage.Heartbeat(TENURE, 5, 41, true, VIEW),
        new PeerMessage.HeartbeatReply(TENURE, 5, STATUS),
        new PeerMessage.Decided(VIEW),
        new PeerMessage.Prepare(VIEW, BALLOT, true),
        new PeerMessage.Promise(7, BALLOT, Ballot.NONE, View.NONE, STATUS),
        new PeerMessage.Accept(7, BALLOT, VIEW),
        new PeerMessage.Accepted(7, BALLOT),
        new PeerMessage.Refused(7, BALLOT, new Ballot(13, TWO), false),
        new PeerMessage.Install(TENURE, STATE),
        new PeerMessage.Append(TENURE, 42, 41, new byte[] {4, 5}),
        new PeerMessage.Synced(TENURE, 42),
        new PeerMessage.TakeOver(7));
  }

  private static List<DurableRecord> records() {
    WitnessState witness = new WitnessState(VIEW, BALLOT, BALLOT, VIEW);
    return List.of(
        new DurableRecord.Snapshot(ONE, witness, TENURE, STATE),
        new DurableRecord.Vote(WitnessState.NONE),
        new DurableRecord.Installation(TENURE, STATE),
        new DurableRecord.Entry(42, 41, new byte[] {7}));
  }

  static PeerMessage decoded(byte[] bytes) {
    Decoded<PeerFrame> decoded = PeerMessageCodec.decode(bytes);
    assertThat(decoded, instanceOf(Decoded.Message.class));
    return ((Decoded.Message<PeerFrame>) decoded).value().message();
  }

  @Test
  void everyMessageComesBackAsItWas() {
    for (PeerMessage message : messages()) {
      byte[] bytes = PeerMessageCodec.encode(TWO, message);
      Decoded<PeerFrame> decoded = PeerMessageCodec.decode(bytes);
      assertThat(decoded, instanceOf(Decoded.Message.class));
      PeerFrame frame = ((Decoded.Message<PeerFrame>) decoded).value();
      assertThat(frame.from(), is(TWO));
      assertThat(frame.message(), instanceOf(message.getClass()));
      assertThat(message.toString(), PeerMessageCodec.encode(TWO, frame.message()), is(bytes));
    }
  }

  @Test
  void contentsSurvive() {
    PeerMessage.Promise promise = new PeerMessage.Promise(7, BALLOT, BALLOT, VIEW, STATUS);
    assertThat(decoded(PeerMessageCodec.encode(ONE, promise)), is(promise));
    PeerMessage.Install install =
        (PeerMessage.Install)
            decoded(PeerMessageCodec.encode(ONE, new PeerMessage.Install(TENURE, STATE)));
    assertThat(install.state().base(), is(STATE.base()));
    assertThat(install.state().records().get(1), is(new byte[] {9}));
    assertThat(install.state().committedSequence(), is(41L));
  }

  @Test
  void everyRecordComesBackAsItWas() {
    for (DurableRecord record : records()) {
      byte[] bytes = DurableRecordCodec.encode(record);
      Decoded<DurableRecord> decoded = DurableRecordCodec.decode(bytes);
      assertThat(decoded, instanceOf(Decoded.Message.class));
      DurableRecord value = ((Decoded.Message<DurableRecord>) decoded).value();
      assertThat(DurableRecordCodec.encode(value), equalTo(bytes));
    }
  }

  @Test
  void whatIsCutOffIsMalformed() {
    for (byte[] bytes : allEncoded()) {
      for (int length = 0; length < bytes.length; length++) {
        byte[] cut = Arrays.copyOf(bytes, length);
        assertThat(PeerMessageCodec.decode(cut), instanceOf(Decoded.Malformed.class));
      }
    }
  }

  @Test
  void noGarbageThrows() {
    SplittableRandom random = new SplittableRandom(1);
    for (byte[] bytes : allEncoded()) {
      for (int i = 0; i < 2_000; i++) {
        byte[] harmed = bytes.clone();
        int position = random.nextInt(harmed.length);
        harmed[position] = (byte) (random.nextBoolean() ? 0xff : random.nextInt());
        PeerMessageCodec.decode(harmed);
        DurableRecordCodec.decode(harmed);
      }
    }
    byte[] noise = new byte[300];
    for (int i = 0; i < 20_000; i++) {
      random.nextBytes(noise);
      PeerMessageCodec.decode(noise);
    }
  }

  @Test
  void aHugeLengthTakesNoMemory() {
    byte[] bytes = PeerMessageCodec.encode(ONE, new PeerMessage.Append(TENURE, 1, 0, new byte[4]));
    int lengthField = bytes.length - 8;
    bytes[lengthField + 3] = 0x7f;
    assertThat(PeerMessageCodec.decode(bytes), instanceOf(Decoded.Malformed.class));
  }

  @Test
  void anotherSchemaOrKindIsUnknown() {
    byte[] bytes = PeerMessageCodec.encode(ONE, new PeerMessage.TakeOver(1));
    byte[] otherKind = bytes.clone();
    otherKind[2] = 99;
    assertThat(PeerMessageCodec.decode(otherKind), instanceOf(Decoded.Unknown.class));
    byte[] otherSchema = bytes.clone();
    otherSchema[4] = 1;
    assertThat(PeerMessageCodec.decode(otherSchema), instanceOf(Decoded.Unknown.class));
  }

  private static List<byte[]> allEncoded() {
    List<byte[]> all = new ArrayList<>();
    messages().forEach(message -> all.add(PeerMessageCodec.encode(ONE, message)));
    return all;
  }
}
