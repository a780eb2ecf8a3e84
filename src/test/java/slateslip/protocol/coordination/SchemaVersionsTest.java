package slateslip.protocol.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.junit.jupiter.api.Test;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.ReplicaMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.coordination.generated.next.EntryRecordEncoder;
import slateslip.protocol.coordination.generated.next.Flag;
import slateslip.protocol.coordination.generated.next.HeartbeatDecoder;
import slateslip.protocol.coordination.generated.next.HeartbeatEncoder;
import slateslip.protocol.coordination.generated.next.HelloDecoder;
import slateslip.protocol.coordination.generated.next.MessageHeaderDecoder;
import slateslip.protocol.coordination.generated.next.MessageHeaderEncoder;
import slateslip.protocol.coordination.generated.next.ViewBlockEncoder;

/**
 * Tests that the current schema version and a later one, which adds fields and variable-length
 * data, can read each other's messages and records.
 */
final class SchemaVersionsTest {
  private static final long ADDED_VALUE = 77;

  private final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer();

  private byte[] copy(int length) {
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  private byte[] laterView() {
    ViewBlockEncoder view =
        new ViewBlockEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    view.epoch(7).primary().ipv4(5).diskId(6);
    ViewBlockEncoder.MembersEncoder members = view.membersCount(2);
    members.next().sinceEpoch(3).addedNote(ADDED_VALUE).node().ipv4(5).diskId(6);
    members.next().sinceEpoch(4).addedNote(ADDED_VALUE).node().ipv4(8).diskId(9);
    view.witnessesCount(1).next().node().ipv4(5).diskId(6);
    return copy(view.limit());
  }

  @Test
  void heartbeatOfALaterVersionIsRead() {
    byte[] view = laterView();
    HeartbeatEncoder encoder =
        new HeartbeatEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    encoder.sender().ipv4(5).diskId(6);
    encoder.term().epoch(7).incarnation(2);
    encoder.round(11).committedSequence(12).active(Flag.YES).addedNote(ADDED_VALUE);
    encoder.putView(view, 0, view.length);
    ReplicaMessage.Heartbeat heartbeat =
        (ReplicaMessage.Heartbeat) ReplicaMessageCodecTest.decoded(copy(encoder.limit()));
    assertThat(heartbeat.round(), is(11L));
    assertThat(heartbeat.active(), is(true));
    assertThat(heartbeat.view().members().get(1).sinceEpoch(), is(4L));
    assertThat(heartbeat.view().witnesses().size(), is(1));
  }

  @Test
  void diskRecordOfALaterVersionIsRead() {
    EntryRecordEncoder encoder =
        new EntryRecordEncoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder());
    encoder.sequence(3).committedSequence(2).addedNote(ADDED_VALUE);
    encoder.putRecord(new byte[] {1, 2}, 0, 2);
    Decoded<DurableRecord> decoded = DurableRecordCodec.decode(copy(encoder.limit()));
    assertThat(decoded, instanceOf(Decoded.Message.class));
    DurableRecord.Entry entry =
        (DurableRecord.Entry) ((Decoded.Message<DurableRecord>) decoded).value();
    assertThat(entry.record(), is(new byte[] {1, 2}));
  }

  @Test
  void laterVersionReadsMessagesOfThisVersion() {
    byte[] heartbeat =
        ReplicaMessageCodec.encode(
            ReplicaMessageCodecTest.ONE,
            new ReplicaMessage.Heartbeat(
                ReplicaMessageCodecTest.TERM, 5, 41, true, ReplicaMessageCodecTest.VIEW));
    HeartbeatDecoder decoder =
        new HeartbeatDecoder()
            .wrapAndApplyHeader(new UnsafeBuffer(heartbeat), 0, new MessageHeaderDecoder());
    assertThat(decoder.round(), is(5L));
    assertThat(decoder.addedNote(), is(HeartbeatDecoder.addedNoteNullValue()));
    assertThat(decoder.viewLength() > 0, is(true));
    byte[] hello =
        ReplicaMessageCodec.encode(
            ReplicaMessageCodecTest.ONE,
            new ReplicaMessage.Hello(ReplicaMessageCodecTest.VIEW, ReplicaMessageCodecTest.STATUS));
    HelloDecoder helloDecoder =
        new HelloDecoder()
            .wrapAndApplyHeader(new UnsafeBuffer(hello), 0, new MessageHeaderDecoder());
    helloDecoder.skipView();
    assertThat(helloDecoder.addedNoteLength(), is(0));
  }
}
