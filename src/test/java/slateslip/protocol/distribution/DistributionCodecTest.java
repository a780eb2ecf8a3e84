package slateslip.protocol.distribution;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.TransferPosition;
import slateslip.protocol.Decoded;

/**
 * Tests that messages are unchanged by encoding and decoding, and that incomplete, damaged or
 * unknown messages yield a result instead of an exception.
 */
class DistributionCodecTest {
  private static final int CONTENT_LENGTH_OFFSET = 8 + 8;
  private static final BackendSession SESSION =
      new BackendSession(
          "i-7f3a91c2", "modelos-ñ", "10.1.0.9:8080", "meseta", "v1", 64, true, 250, 1L << 40);

  private final DistributionCodec codec = new DistributionCodec();

  static Stream<DataPlaneMessage> toControl() {
    return Stream.of(
        new DataPlaneMessage.Subscribe("edge-1", -5, "faro", 7, true),
        new DataPlaneMessage.Subscribe("", 0, "", 0, false),
        new DataPlaneMessage.Subscribe(
            "edge-1", -5, "faro", 7, true, true, new TransferPosition(-9, 16_384)),
        new DataPlaneMessage.SegmentAcknowledge(new TransferPosition(1L << 60, 65_536)),
        new DataPlaneMessage.Acknowledge(9, 12),
        new DataPlaneMessage.Demand(QuotaReport.countsOnly(List.of())),
        new DataPlaneMessage.Demand(
            new QuotaReport(
                7,
                8,
                9,
                10,
                94,
                true,
                List.of(
                    new TenantDemand("a", 5, 4, 0.1, new Spending(0.2, 77), 0.3, 0.4),
                    new TenantDemand("b", 1L << 50, 0, 0, Spending.NONE, 0, 0)))),
        new DataPlaneMessage.Ping(77));
  }

  static Stream<ControlPlaneMessage> toDataPlane() {
    BackendSession other = new BackendSession("i-2", "s", "10.1.0.1:1", "z", "", 1, false, 0, 0);
    return Stream.of(
        new ControlPlaneMessage.SessionSnapshot(3, false, List.of(SESSION, other)),
        new ControlPlaneMessage.SessionSnapshot(3, true, List.of()),
        new ControlPlaneMessage.SessionDelta(4, List.of(SESSION), List.of("i-1", "i-3")),
        new ControlPlaneMessage.SessionDelta(5, List.of(), List.of()),
        new ControlPlaneMessage.QuotaUpdate(
            new QuotaAllocation(6, List.of(new TenantShare("a", 0.25)))),
        new ControlPlaneMessage.QuotaUpdate(
            new QuotaAllocation(
                6,
                new QuotaAllocation.Lease(7, 8, 9, 10, 94),
                List.of(new TenantShare("a", 0.25), new TenantShare("b", 0, true)))),
        new ControlPlaneMessage.Heartbeat(true, 4, 5, List.of("10.1.0.6", "10.2.0.20")),
        new ControlPlaneMessage.Heartbeat(false, 0, 0, List.of()),
        new ControlPlaneMessage.Pong(-1));
  }

  @ParameterizedTest
  @MethodSource("toControl")
  void messageToControlIsUnchangedByEncodingAndDecoding(DataPlaneMessage message) {
    assertThat(
        codec.decodeToControl(codec.encode(message)), equalTo(new Decoded.Message<>(message)));
  }

  @ParameterizedTest
  @MethodSource("toDataPlane")
  void messageToDataPlaneIsUnchangedByEncodingAndDecoding(ControlPlaneMessage message) {
    assertThat(
        codec.decodeToDataPlane(codec.encode(message)), equalTo(new Decoded.Message<>(message)));
  }

  @Test
  void readsDocumentsOfAnyLength() {
    byte[] document = new byte[4 * 1024 * 1024];
    new Random(1).nextBytes(document);
    ControlPlaneMessage snapshot =
        read(codec.encode(new ControlPlaneMessage.ConfigurationSnapshot(8, document)));
    assertThat(((ControlPlaneMessage.ConfigurationSnapshot) snapshot).version(), is(8L));
    assertThat(
        ((ControlPlaneMessage.ConfigurationSnapshot) snapshot).document(), equalTo(document));

    byte[] empty = new byte[0];
    ControlPlaneMessage patch =
        read(codec.encode(new ControlPlaneMessage.ConfigurationPatch(8, 11, empty)));
    assertThat(((ControlPlaneMessage.ConfigurationPatch) patch).fromVersion(), is(8L));
    assertThat(((ControlPlaneMessage.ConfigurationPatch) patch).toVersion(), is(11L));
    assertThat(((ControlPlaneMessage.ConfigurationPatch) patch).patch(), equalTo(empty));
  }

  @ParameterizedTest
  @MethodSource("toControl")
  void messageToControlIsUnknownToADataPlane(DataPlaneMessage message) {
    assertThat(
        codec.decodeToDataPlane(codec.encode(message)), is(instanceOf(Decoded.Unknown.class)));
  }

  @ParameterizedTest
  @MethodSource("toDataPlane")
  void truncatedMessageIsMalformed(ControlPlaneMessage message) {
    byte[] encoded = codec.encode(message);
    for (int length = 0; length < encoded.length; length++) {
      Decoded<ControlPlaneMessage> decoded =
          codec.decodeToDataPlane(Arrays.copyOf(encoded, length));
      assertThat("cut at " + length, decoded, is(instanceOf(Decoded.Malformed.class)));
    }
  }

  @Test
  void overlongDocumentIsMalformedWithoutAllocation() {
    byte[] document = "{}".getBytes(StandardCharsets.UTF_8);
    for (int length : new int[] {3, 1 << 20, Integer.MAX_VALUE, -1, Integer.MIN_VALUE}) {
      byte[] bytes = codec.encode(new ControlPlaneMessage.ConfigurationSnapshot(8, document));
      ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).putInt(CONTENT_LENGTH_OFFSET, length);
      assertThat(codec.decodeToDataPlane(bytes), is(instanceOf(Decoded.Malformed.class)));
    }
  }

  @Test
  void otherSchemaIsUnknown() {
    byte[] bytes = codec.encode(new DataPlaneMessage.Ping(1));
    ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).putShort(4, (short) 9999);
    assertThat(codec.decodeToControl(bytes), equalTo(new Decoded.Unknown<>(9999, 4)));
  }

  @Test
  void randomBytesNeverCauseExceptions() {
    Random random = new Random(7);
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = new byte[random.nextInt(80)];
      random.nextBytes(bytes);
      codec.decodeToControl(bytes);
      codec.decodeToDataPlane(bytes);
    }
  }

  @Test
  void damagedMessagesNeverCauseExceptions() {
    Random random = new Random(8);
    List<byte[]> encoded = new ArrayList<>();
    toControl().forEach(message -> encoded.add(codec.encode(message)));
    toDataPlane().forEach(message -> encoded.add(codec.encode(message)));
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = encoded.get(random.nextInt(encoded.size())).clone();
      for (int damage = 0; damage < 3; damage++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      codec.decodeToControl(bytes);
      codec.decodeToDataPlane(bytes);
    }
  }

  private ControlPlaneMessage read(byte[] bytes) {
    return ((Decoded.Message<ControlPlaneMessage>) codec.decodeToDataPlane(bytes)).value();
  }
}
