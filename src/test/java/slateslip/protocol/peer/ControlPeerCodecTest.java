package slateslip.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.peer.ConfigurationStateSnapshot;
import slateslip.distribution.peer.ConfigurationStateSnapshot.CommittedChange;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;
import slateslip.protocol.Decoded;

/**
 * Tests that messages are unchanged by encoding and decoding, and that truncated or damaged
 * messages yield a result instead of an exception.
 */
class ControlPeerCodecTest {
  private static final byte[] BODY = "{\"version\":7}".getBytes(StandardCharsets.UTF_8);

  private static final QuotaReport REPORT =
      new QuotaReport(
          7,
          8,
          9,
          10,
          94,
          true,
          List.of(new TenantDemand("a", 9, 8, 0.1, new Spending(0.2, 77), 0.3, 0.4)));

  private final ControlPeerCodec codec = new ControlPeerCodec();

  static Stream<ControlPeerMessage> messages() {
    BackendSession session =
        new BackendSession("i-1", "s", "10.1.0.9:8080", "z", "v1", 64, true, 250, 1L << 40);
    DataPlaneDemand demand = new DataPlaneDemand("edge-1", 5, REPORT);
    QuotaAllocation.Lease lease = new QuotaAllocation.Lease(7, 8, 9, 10, 6);
    QuotaAllocation shares =
        new QuotaAllocation(6, lease, List.of(new TenantShare("a", 0.5, true)));
    return Stream.of(
        new ControlPeerMessage.Hello("10.1.0.6", -9),
        new ControlPeerMessage.Hello("10.1.0.6", -9, true),
        new ControlPeerMessage.SegmentAcknowledge(new TransferPosition(-7, 16_384)),
        new ControlPeerMessage.Heartbeat(5, 4, true, List.of("10.1.0.6", "10.2.0.6")),
        new ControlPeerMessage.SessionChanges(
            3, true, List.of(new SessionEntry(session, 9, 8)), List.of("i-0")),
        new ControlPeerMessage.SessionChanges(0, false, List.of(), List.of()),
        new ControlPeerMessage.SessionRenewals(List.of(new SessionRenewal("i-1", 20))),
        new ControlPeerMessage.SessionChangesAcknowledged(3),
        new ControlPeerMessage.DeliveryReport(Long.MAX_VALUE, 850_000),
        new ControlPeerMessage.DemandReport(
            List.of(demand, new DataPlaneDemand("edge-2", 6, QuotaReport.countsOnly(List.of())))),
        new ControlPeerMessage.QuotaAllocations(List.of(new DataPlaneQuota("edge-1", shares))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageIsUnchangedByEncodingAndDecoding(ControlPeerMessage message) {
    assertThat(codec.decode(codec.encode(message)), equalTo(new Decoded.Message<>(message)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void truncatedMessageIsMalformed(ControlPeerMessage message) {
    byte[] encoded = codec.encode(message);
    for (int length = 0; length < encoded.length; length++) {
      Decoded<ControlPeerMessage> decoded = codec.decode(Arrays.copyOf(encoded, length));
      assertThat("cut at " + length, decoded, is(instanceOf(Decoded.Malformed.class)));
    }
  }

  @Test
  void requestsAndResponsesKeepBodies() {
    for (OperatorRequest.Method method : OperatorRequest.Method.values()) {
      OperatorRequest request = new OperatorRequest(method, 6, BODY);
      ControlPeerMessage.ForwardedRequest forwarded =
          (ControlPeerMessage.ForwardedRequest)
              read(new ControlPeerMessage.ForwardedRequest(2, request));
      assertThat(forwarded.requestId(), is(2L));
      assertThat(forwarded.request().method(), is(method));
      assertThat(forwarded.request().baseVersion(), is(6L));
      assertThat(forwarded.request().body(), equalTo(BODY));
    }
    OperatorResponse response = new OperatorResponse(412, 7, BODY);
    ControlPeerMessage.ForwardedResponse forwardedResponse =
        (ControlPeerMessage.ForwardedResponse)
            read(new ControlPeerMessage.ForwardedResponse(2, response));
    assertThat(forwardedResponse.response().status(), is(412));
    assertThat(forwardedResponse.response().version(), is(7L));
    assertThat(forwardedResponse.response().body(), equalTo(BODY));
  }

  @Test
  void stateSnapshotAndRecordsAreUnchangedByEncodingAndDecoding() {
    List<CommittedChange> changes =
        List.of(new CommittedChange(0, 3, 1, 2), new CommittedChange(3, 9, -1, -2));
    Decoded<ConfigurationStateSnapshot> image =
        ConfigurationStateCodec.decode(
            ConfigurationStateCodec.encode(new ConfigurationStateSnapshot(changes, BODY)));
    ConfigurationStateSnapshot read = ((Decoded.Message<ConfigurationStateSnapshot>) image).value();
    assertThat(read.changes(), equalTo(changes));
    assertThat(read.document(), equalTo(BODY));

    OperatorRequest request = new OperatorRequest(OperatorRequest.Method.PATCH, 4, BODY);
    byte[] record = OperatorRequestCodec.encode(request);
    assertThat(ConfigurationStateCodec.decode(record), is(instanceOf(Decoded.Unknown.class)));
    OperatorRequest found =
        ((Decoded.Message<OperatorRequest>) OperatorRequestCodec.decode(record)).value();
    assertThat(found.method(), is(OperatorRequest.Method.PATCH));
    assertThat(found.body(), equalTo(BODY));
  }

  @Test
  void damagedMessagesNeverCauseExceptions() {
    Random random = new Random(3);
    List<byte[]> encoded = messages().map(codec::encode).toList();
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = encoded.get(random.nextInt(encoded.size())).clone();
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      codec.decode(bytes);
      OperatorRequestCodec.decode(bytes);
      ConfigurationStateCodec.decode(bytes);
    }
  }

  private ControlPeerMessage read(ControlPeerMessage message) {
    Decoded<ControlPeerMessage> decoded = codec.decode(codec.encode(message));
    return ((Decoded.Message<ControlPeerMessage>) decoded).value();
  }
}
