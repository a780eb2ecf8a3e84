package slateslip.distribution.delivery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.sessions.SessionTable;

/**
 * Checks which messages a stream receives, depending on the state that the data plane already has.
 */
class SubscriberDeliveryTest {
  private static final long NOW = 1_000_000;

  private final Source source = new Source();
  private final SessionTable sessions = new SessionTable(3_600_000);
  private final SubscriberDelivery delivery = new SubscriberDelivery(source, sessions);

  @Test
  void standbyStreamReceivesNothing() {
    source.version = 5;
    assertThat(delivery.pending(), is(empty()));
    delivery.subscribe(subscribe(0, false));
    assertThat(delivery.pending(), is(empty()));
    assertThat(delivery.isActive(), is(false));
  }

  @Test
  void newStreamReceivesFullState() {
    source.version = 5;
    delivery.subscribe(subscribe(0, true));
    List<ControlPlaneMessage> messages = delivery.pending();
    assertThat(messages.get(0), is(instanceOf(ControlPlaneMessage.ConfigurationSnapshot.class)));
    assertThat(messages.get(1), is(instanceOf(ControlPlaneMessage.SessionSnapshot.class)));
    assertThat(((ControlPlaneMessage.SessionSnapshot) messages.get(1)).complete(), is(false));
    assertThat(delivery.pending(), is(empty()));
  }

  @Test
  void onlySessionsAreSentWithoutConfiguration() {
    delivery.subscribe(subscribe(0, true));
    assertThat(delivery.pending(), hasSize(1));
  }

  @Test
  void streamWithOlderVersionReceivesPatchesFromThatVersion() {
    source.patch(3, 5);
    source.patch(5, 6);
    delivery.subscribe(subscribe(3, true));
    List<ControlPlaneMessage> messages = delivery.pending();
    assertThat(((ControlPlaneMessage.ConfigurationPatch) messages.get(0)).toVersion(), is(5L));
    assertThat(((ControlPlaneMessage.ConfigurationPatch) messages.get(1)).toVersion(), is(6L));
  }

  @Test
  void patchGapSendsSnapshot() {
    source.patch(3, 5);
    source.version = 8;
    delivery.subscribe(subscribe(3, true));
    assertThat(
        delivery.pending().get(0), is(instanceOf(ControlPlaneMessage.ConfigurationSnapshot.class)));
  }

  @Test
  void dataPlaneWithNewerVersionReceivesNoConfiguration() {
    source.version = 5;
    delivery.subscribe(subscribe(9, true));
    assertThat(delivery.pending(), hasSize(1));
    assertThat(delivery.acknowledgedVersion(), is(9L));
  }

  @Test
  void missedSessionChangesAreSentAsOneDelta() {
    delivery.subscribe(subscribe(0, true));
    delivery.pending();
    register("a", 1);
    register("b", 2);
    sessions.deregister(NOW, "a");
    List<ControlPlaneMessage> messages = delivery.pending();
    assertThat(messages, hasSize(1));
    ControlPlaneMessage.SessionDelta delta = (ControlPlaneMessage.SessionDelta) messages.get(0);
    assertThat(delta.removedIds(), is(List.of("a")));
    assertThat(delta.changed(), hasSize(1));
    assertThat(delta.revision(), is(sessions.revision()));
  }

  @Test
  void completedTableIsSentAsSnapshot() {
    delivery.subscribe(subscribe(0, true));
    delivery.pending();
    sessions.markComplete();
    ControlPlaneMessage.SessionSnapshot snapshot =
        (ControlPlaneMessage.SessionSnapshot) delivery.pending().get(0);
    assertThat(snapshot.complete(), is(true));
  }

  @Test
  void progressIsMinimumOfActiveStreams() {
    SubscriberDelivery second = new SubscriberDelivery(source, sessions);
    SubscriberDelivery standby = new SubscriberDelivery(source, sessions);
    delivery.subscribe(subscribe(0, true));
    second.subscribe(subscribe(7, true));
    standby.subscribe(subscribe(1, false));
    delivery.acknowledge(new DataPlaneMessage.Acknowledge(4, 2));
    second.acknowledge(new DataPlaneMessage.Acknowledge(7, 1));
    DeliveryProgress progress = DeliveryProgress.of(List.of(delivery, second, standby));
    assertThat(progress, is(new DeliveryProgress(4, 1)));
    assertThat(
        DeliveryProgress.of(List.of(standby)),
        is(new DeliveryProgress(DeliveryProgress.NO_SUBSCRIBERS, DeliveryProgress.NO_SUBSCRIBERS)));
  }

  @Test
  void olderAcknowledgementDoesNotLowerProgress() {
    delivery.subscribe(subscribe(0, true));
    delivery.acknowledge(new DataPlaneMessage.Acknowledge(4, 9));
    delivery.acknowledge(new DataPlaneMessage.Acknowledge(3, 8));
    assertThat(delivery.acknowledgedVersion(), is(4L));
    assertThat(delivery.acknowledgedRevision(), is(9L));
  }

  private void register(String id, int host) {
    sessions.heartbeat(
        NOW, new BackendSession(id, "s", "10.1.0." + host + ":80", "z", "v1", 8, false, 0, 1));
  }

  private static DataPlaneMessage.Subscribe subscribe(long version, boolean active) {
    return new DataPlaneMessage.Subscribe("edge-1", 1, "z", version, active);
  }

  private static final class Source implements ConfigurationSource {
    private final Map<Long, Patch> patches = new HashMap<>();
    private long version;

    private void patch(long from, long to) {
      patches.put(from, new Patch(to, new byte[0]));
      version = to;
    }

    @Override
    public long version() {
      return version;
    }

    @Override
    public byte[] document() {
      return new byte[] {1};
    }

    @Override
    public Optional<Patch> patchFrom(long from) {
      return Optional.ofNullable(patches.get(from));
    }
  }
}
