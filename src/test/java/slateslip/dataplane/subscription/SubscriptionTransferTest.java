package slateslip.dataplane.subscription;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.transfer.CompressedMessage;
import slateslip.distribution.transfer.SegmentSender;
import slateslip.protocol.distribution.DistributionCodec;

/** Tests streams on which a control agent sends a configuration in segments. */
class SubscriptionTransferTest {
  private static final String NEAR = "10.1.0.6";
  private static final String FAR = "10.2.0.20";
  private static final String FARTHER = "10.3.0.10";
  private static final String EMPTY_DOCUMENT = "{\"version\":%d,\"routes\":[],\"services\":[]}";

  private final Subscription subscription =
      new Subscription(
          new DataPlaneIdentity("edge-1", 7, "z1", "10.1.0.3"), List.of(FAR, NEAR, FARTHER));
  private final List<SubscriptionOutput> outputs = new ArrayList<>();
  private long now = 1_000;

  @BeforeEach
  void makeNearActive() {
    tick();
    for (String agent : List.of(NEAR, FAR, FARTHER)) {
      feed(new SubscriptionInput.Connected(agent));
      heartbeat(agent);
    }
    outputs.clear();
  }

  private void feed(SubscriptionInput input) {
    outputs.addAll(subscription.handle(now, input));
  }

  private void tick() {
    feed(new SubscriptionInput.Tick(QuotaReport.EMPTY));
  }

  private void receive(String agent, ControlPlaneMessage message) {
    feed(new SubscriptionInput.Received(agent, message));
  }

  private void heartbeat(String agent) {
    receive(agent, new ControlPlaneMessage.Heartbeat(true, 0, 1, List.of(NEAR, FAR, FARTHER)));
  }

  /** Advances the time in ticks; only the agents that are not active send heartbeats. */
  private void advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now += 100;
      heartbeat(FAR);
      heartbeat(FARTHER);
      tick();
    }
  }

  private <T> List<T> takeOutputs(Class<T> kind) {
    List<T> taken = outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
    outputs.removeIf(kind::isInstance);
    return taken;
  }

  private <T extends DataPlaneMessage> List<T> takeSent(Class<T> kind) {
    return takeOutputs(SubscriptionOutput.Send.class).stream()
        .map(SubscriptionOutput.Send::message)
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }

  private List<Long> takeAppliedVersions() {
    return takeOutputs(SubscriptionOutput.Configure.class).stream()
        .map(configure -> configure.configuration().version())
        .toList();
  }

  private List<ControlPlaneMessage.Segment> segmentsOf(ControlPlaneMessage message) {
    SegmentSender sender =
        new SegmentSender(
            CompressedMessage.of(new DistributionCodec().encode(message)), TransferPosition.NONE);
    List<ControlPlaneMessage.Segment> segments = new ArrayList<>();
    while (sender.hasNext()) {
      segments.add(sender.next(SegmentSender.SEGMENT_BYTES));
    }
    return segments;
  }

  private static byte[] largeDocument(long version) {
    byte[] drawn = new byte[60_000];
    new Random(version).nextBytes(drawn);
    String note = Base64.getEncoder().encodeToString(drawn);
    String text = EMPTY_DOCUMENT.formatted(version);
    return text.replaceFirst("\\{", "{\"note\":\"" + note + "\",").getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void configurationInSegmentsIsAppliedWhenComplete() {
    List<ControlPlaneMessage.Segment> segments =
        segmentsOf(new ControlPlaneMessage.ConfigurationSnapshot(5, largeDocument(5)));
    for (ControlPlaneMessage.Segment segment : segments) {
      assertThat(takeAppliedVersions(), is(empty()));
      receive(NEAR, segment);
    }
    assertThat(takeAppliedVersions(), contains(5L));
    assertThat(
        takeSent(DataPlaneMessage.Acknowledge.class),
        contains(new DataPlaneMessage.Acknowledge(5, 0)));
  }

  /** Guards against a stream that ends while a configuration is under way (review, case 7). */
  @Test
  void segmentsKeepStreamOpenAndNextStreamContinuesTransfer() {
    List<ControlPlaneMessage.Segment> segments =
        segmentsOf(new ControlPlaneMessage.ConfigurationSnapshot(5, largeDocument(5)));
    for (ControlPlaneMessage.Segment segment : segments.subList(0, 2)) {
      advance(600);
      receive(NEAR, segment);
    }
    advance(600);
    assertThat(takeOutputs(SubscriptionOutput.Close.class), is(empty()));
    outputs.clear();
    feed(new SubscriptionInput.Disconnected(NEAR));
    DataPlaneMessage.Subscribe subscribe =
        takeSent(DataPlaneMessage.Subscribe.class).stream()
            .filter(DataPlaneMessage.Subscribe::active)
            .findFirst()
            .orElseThrow();
    assertThat(subscribe.partial(), is(positionAfter(segments.get(1))));
    segments.subList(2, segments.size()).forEach(segment -> receive(FAR, segment));
    assertThat(takeAppliedVersions(), contains(5L));
  }

  /** Guards against an agent that begins a session table anew on each stream (issue 56). */
  @Test
  void eachIncompleteTransferIsReportedToNextAgent() {
    ControlPlaneMessage.Segment first = firstSegmentOf(5);
    ControlPlaneMessage.Segment second = firstSegmentOf(6);
    receive(NEAR, first);
    receive(NEAR, second);
    outputs.clear();
    feed(new SubscriptionInput.Disconnected(NEAR));
    assertThat(
        takeOutputs(SubscriptionOutput.Send.class).stream()
            .filter(send -> send.agent().equals(FAR))
            .limit(2)
            .map(SubscriptionOutput.Send::message)
            .toList(),
        containsInAnyOrder(
            new DataPlaneMessage.SegmentAcknowledge(positionAfter(first)),
            new DataPlaneMessage.SegmentAcknowledge(positionAfter(second))));
  }

  private ControlPlaneMessage.Segment firstSegmentOf(long version) {
    return segmentsOf(
            new ControlPlaneMessage.ConfigurationSnapshot(version, largeDocument(version)))
        .get(0);
  }

  private static TransferPosition positionAfter(ControlPlaneMessage.Segment segment) {
    return new TransferPosition(segment.transfer(), segment.offset() + segment.content().length);
  }

  /** Guards against a stream to an earlier program version that ends within a long message. */
  @Test
  void bytesOfIncompleteMessageKeepStreamOpen() {
    for (int round = 0; round < 4; round++) {
      advance(600);
      feed(new SubscriptionInput.BytesReceived(NEAR));
    }
    assertThat(takeOutputs(SubscriptionOutput.Close.class), is(empty()));
    advance(800);
    assertThat(
        takeOutputs(SubscriptionOutput.Close.class), contains(new SubscriptionOutput.Close(NEAR)));
  }

  @Test
  void corruptTransferClosesStream() {
    receive(NEAR, new ControlPlaneMessage.Segment(1, 3, 0, new byte[] {1, 2, 3}));
    assertThat(
        takeOutputs(SubscriptionOutput.Close.class), contains(new SubscriptionOutput.Close(NEAR)));
  }
}
