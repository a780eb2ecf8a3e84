package slateslip.protocol.distribution;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.distribution.newer.generated.AcknowledgeDecoder;
import slateslip.protocol.distribution.newer.generated.AcknowledgeEncoder;
import slateslip.protocol.distribution.newer.generated.FarewellEncoder;
import slateslip.protocol.distribution.newer.generated.Flag;
import slateslip.protocol.distribution.newer.generated.MessageHeaderDecoder;
import slateslip.protocol.distribution.newer.generated.MessageHeaderEncoder;
import slateslip.protocol.distribution.newer.generated.SessionsDecoder;
import slateslip.protocol.distribution.newer.generated.SessionsEncoder;
import slateslip.protocol.distribution.newer.generated.SubscribeDecoder;
import slateslip.protocol.distribution.newer.generated.SubscribeEncoder;

/**
 * Tests that the current schema version and a later one ({@code src/test/sbe}), which adds fields
 * and a message, can read each other's messages.
 */
class SchemaVersionsTest {
  private static final BackendSession FIRST =
      new BackendSession("i-1", "s", "10.1.0.9:8080", "z", "v1", 64, true, 250, 4);
  private static final BackendSession SECOND =
      new BackendSession("i-2", "t", "10.1.0.8:8080", "y", "v2", 6, false, 0, 9);

  private final DistributionCodec codec = new DistributionCodec();
  private final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer();
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();

  @Test
  void newerSubscribeIsReadWithoutItsNewData() {
    SubscribeEncoder encoder = new SubscribeEncoder().wrapAndApplyHeader(buffer, 0, header);
    encoder.incarnation(5).configurationVersion(7).active(Flag.YES);
    encoder.node("edge-1").zone("faro").build("2031-4");
    assertThat(
        codec.decodeToControl(written(encoder.encodedLength())),
        equalTo(
            new Decoded.Message<>(new DataPlaneMessage.Subscribe("edge-1", 5, "faro", 7, true))));
  }

  @Test
  void newerAcknowledgeIsReadWithoutItsNewField() {
    AcknowledgeEncoder encoder = new AcknowledgeEncoder().wrapAndApplyHeader(buffer, 0, header);
    encoder.configurationVersion(9).sessionRevision(12).applyMicros(333);
    assertThat(
        codec.decodeToControl(written(encoder.encodedLength())),
        equalTo(new Decoded.Message<>(new DataPlaneMessage.Acknowledge(9, 12))));
  }

  @Test
  void newerSessionsAreReadWithoutTheirNewField() {
    SessionsEncoder encoder = new SessionsEncoder().wrapAndApplyHeader(buffer, 0, header);
    encoder.revision(3).fullTable(Flag.NO).complete(Flag.NO);
    SessionsEncoder.ChangedEncoder group = encoder.changedCount(2);
    write(FIRST, group.next());
    write(SECOND, group.next());
    encoder.goneCount(1).next().instance("i-0");
    assertThat(
        codec.decodeToDataPlane(written(encoder.encodedLength())),
        equalTo(
            new Decoded.Message<>(
                new ControlPlaneMessage.SessionDelta(3, List.of(FIRST, SECOND), List.of("i-0")))));
  }

  @Test
  void newerMessageIsUnknown() {
    FarewellEncoder encoder = new FarewellEncoder().wrapAndApplyHeader(buffer, 0, header);
    byte[] message = written(encoder.reason(2).encodedLength());
    int schema = MessageHeaderEncoder.SCHEMA_ID;
    Decoded<DataPlaneMessage> unknown = new Decoded.Unknown<>(schema, FarewellEncoder.TEMPLATE_ID);
    assertThat(codec.decodeToControl(message), equalTo(unknown));
  }

  @Test
  void newerReaderReadsOlderSubscribe() {
    byte[] message = codec.encode(new DataPlaneMessage.Subscribe("edge-1", 5, "faro", 7, true));
    SubscribeDecoder decoder =
        new SubscribeDecoder()
            .wrapAndApplyHeader(new UnsafeBuffer(message), 0, new MessageHeaderDecoder());
    assertThat(decoder.incarnation(), is(5L));
    assertThat(decoder.active(), is(Flag.YES));
    assertThat(decoder.node(), is("edge-1"));
    assertThat(decoder.zone(), is("faro"));
    assertThat(decoder.build(), is(""));
  }

  @Test
  void newerReaderReadsOlderAcknowledge() {
    byte[] message = codec.encode(new DataPlaneMessage.Acknowledge(9, 12));
    AcknowledgeDecoder decoder =
        new AcknowledgeDecoder()
            .wrapAndApplyHeader(new UnsafeBuffer(message), 0, new MessageHeaderDecoder());
    assertThat(decoder.sessionRevision(), is(12L));
    assertThat(decoder.applyMicros(), is(AcknowledgeDecoder.applyMicrosNullValue()));
  }

  @Test
  void newerReaderReadsOlderSessions() {
    byte[] message =
        codec.encode(
            new ControlPlaneMessage.SessionDelta(3, List.of(FIRST, SECOND), List.of("i-0")));
    SessionsDecoder decoder =
        new SessionsDecoder()
            .wrapAndApplyHeader(new UnsafeBuffer(message), 0, new MessageHeaderDecoder());
    SessionsDecoder.ChangedDecoder group = decoder.changed();
    assertThat(group.count(), is(2));
    for (BackendSession session : List.of(FIRST, SECOND)) {
      SessionsDecoder.ChangedDecoder entry = group.next();
      assertThat(entry.slots(), is(session.slots()));
      assertThat(entry.weight(), is(SessionsDecoder.ChangedDecoder.weightNullValue()));
      assertThat(entry.instance(), is(session.id()));
      assertThat(entry.service(), is(session.service()));
      assertThat(entry.address(), is(session.address()));
      assertThat(entry.zone(), is(session.zone()));
      assertThat(entry.software(), is(session.version()));
    }
    assertThat(decoder.gone().next().instance(), is("i-0"));
  }

  private static void write(BackendSession session, SessionsEncoder.ChangedEncoder encoder) {
    encoder.slots(session.slots()).draining(session.draining() ? Flag.YES : Flag.NO);
    encoder
        .remainingWarmupMillis(session.remainingWarmupMillis())
        .sequence(session.sequence())
        .weight(8);
    encoder.instance(session.id()).service(session.service()).address(session.address());
    encoder.zone(session.zone()).software(session.version());
  }

  private byte[] written(int bodyLength) {
    byte[] bytes = new byte[MessageHeaderEncoder.ENCODED_LENGTH + bodyLength];
    buffer.getBytes(0, bytes);
    return bytes;
  }
}
