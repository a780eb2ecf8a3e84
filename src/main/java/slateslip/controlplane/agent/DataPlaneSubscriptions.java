package slateslip.controlplane.agent;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.delivery.DeliveryProgress;
import slateslip.distribution.delivery.DepartedSubscribers;
import slateslip.distribution.delivery.SubscriberDelivery;
import slateslip.distribution.sessions.SessionTable;
import slateslip.distribution.transfer.SharedWindow;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * Manages the streams of data planes that are connected to this agent. Confined to the event loop.
 */
final class DataPlaneSubscriptions {
  private static final Logger LOG = Logger.getLogger(DataPlaneSubscriptions.class);

  private final DistributionCodec codec = new DistributionCodec();
  private final OutgoingMessages outgoingMessages;
  private final SharedWindow window = new SharedWindow();
  private final Map<DataPlaneStream, SubscriberStream> streams = new LinkedHashMap<>();
  private final DepartedSubscribers departed = new DepartedSubscribers();
  private final Scheduler scheduler;
  private final ConfigurationSource configurations;
  private final SessionTable sessions;
  private final Supplier<ControlPlaneMessage.Heartbeat> heartbeat;
  private final Listener listener;
  private final BooleanSupplier keyLeaseRequired;
  private final Consumer<LongConsumer> versionConfirmation;
  private long deliveredBytes;

  /** Receives notifications about the messages of data planes. */
  interface Listener {
    /**
     * Called after an active stream was opened or closed, or after a data plane sent an
     * acknowledgement.
     */
    void progressChanged();

    /** Called when a data plane reports its demand for quota. */
    void demandReceived(DataPlaneMessage.Subscribe subscriber, DataPlaneMessage.Demand demand);
  }

  DataPlaneSubscriptions(
      Scheduler scheduler,
      ConfigurationSource configurations,
      SessionTable sessions,
      Supplier<ControlPlaneMessage.Heartbeat> heartbeat,
      Listener listener,
      BooleanSupplier keyLeaseRequired,
      Consumer<LongConsumer> versionConfirmation) {
    this.scheduler = scheduler;
    outgoingMessages = new OutgoingMessages(codec, scheduler::nowMicros);
    this.configurations = configurations;
    this.sessions = sessions;
    this.heartbeat = heartbeat;
    this.listener = listener;
    this.keyLeaseRequired = keyLeaseRequired;
    this.versionConfirmation = versionConfirmation;
  }

  void received(DataPlaneStream stream, DataPlaneMessage message) {
    SubscriberStream subscriber = streams.get(stream);
    if (message instanceof DataPlaneMessage.Subscribe subscribe) {
      subscribe(stream, subscribe);
    } else if (subscriber == null) {
      stream.close();
    } else if (message instanceof DataPlaneMessage.Acknowledge acknowledge) {
      subscriber.acknowledge(acknowledge);
      subscriber.deliverPending();
      listener.progressChanged();
    } else if (message instanceof DataPlaneMessage.SegmentAcknowledge acknowledge) {
      deliveredBytes += subscriber.segmentAcknowledged(acknowledge.position());
      subscriber.deliverPending();
    } else if (message instanceof DataPlaneMessage.Demand demand) {
      subscriber.delivery().subscription().ifPresent(from -> listener.demandReceived(from, demand));
    } else if (message instanceof DataPlaneMessage.Ping ping) {
      respond(stream, subscriber, ping);
    }
  }

  private void respond(
      DataPlaneStream stream, SubscriberStream subscriber, DataPlaneMessage.Ping ping) {
    if (keyLeaseRequired.getAsBoolean()) {
      versionConfirmation.accept(version -> sendConfirmedPong(stream, ping, version));
    } else {
      subscriber.send(new ControlPlaneMessage.Pong(ping.nonce()));
    }
  }

  /**
   * Responds to a ping if API keys are leased. The heartbeat that precedes the pong carries a
   * version that is at least as new as every configuration acknowledged before the ping. The lease
   * of the data plane depends on this order of heartbeat and pong.
   */
  private void sendConfirmedPong(DataPlaneStream stream, DataPlaneMessage.Ping ping, long version) {
    SubscriberStream subscriber = streams.get(stream);
    if (subscriber == null) {
      return;
    }
    ControlPlaneMessage.Heartbeat newest = heartbeat.get();
    subscriber.send(
        new ControlPlaneMessage.Heartbeat(
            newest.current(),
            Math.max(newest.configurationVersion(), version),
            newest.sessionRevision(),
            newest.controlAgents()));
    subscriber.send(new ControlPlaneMessage.Pong(ping.nonce()));
  }

  private void subscribe(DataPlaneStream stream, DataPlaneMessage.Subscribe message) {
    if (!streams.containsKey(stream)) {
      LOG.infof("data plane subscribed: node=%s zone=%s", message.node(), message.zone());
    }
    SubscriberStream subscriber = streams.computeIfAbsent(stream, this::newSubscriber);
    subscriber.subscribe(message);
    if (message.active()) {
      departed.returned(message.node());
    }
    subscriber.send(heartbeat.get());
    subscriber.deliverPending();
    listener.progressChanged();
  }

  private SubscriberStream newSubscriber(DataPlaneStream stream) {
    SubscriberDelivery delivery = new SubscriberDelivery(configurations, sessions);
    return new SubscriberStream(stream, codec, outgoingMessages, window, delivery);
  }

  void closed(DataPlaneStream stream) {
    SubscriberStream subscriber = streams.remove(stream);
    if (subscriber == null) {
      return;
    }
    subscriber.closed();
    if (!subscriber.isActive()) {
      return;
    }
    SubscriberDelivery delivery = subscriber.delivery();
    String node = delivery.subscription().orElseThrow().node();
    boolean hasOtherStream =
        streams.values().stream().anyMatch(other -> other.isActiveStreamOf(node));
    if (!hasOtherStream) {
      departed.departed(node, delivery.acknowledgedVersion(), scheduler.nowMicros());
    }
    listener.progressChanged();
  }

  /** Sends pending configurations and sessions to all active streams that are writable. */
  void deliverPending() {
    streams.values().forEach(SubscriberStream::deliverPending);
  }

  /** Sends pending configurations and sessions to a stream that has become writable again. */
  void writable(DataPlaneStream stream) {
    SubscriberStream subscriber = streams.get(stream);
    if (subscriber != null) {
      subscriber.deliverPending();
    }
  }

  /** Sends a heartbeat on every writable stream. */
  void sendHeartbeats() {
    byte[] encoded = codec.encode(heartbeat.get());
    streams.values().forEach(subscriber -> subscriber.send(encoded));
  }

  /**
   * Sends a message on the active stream of a data plane; the message is dropped if the stream is
   * not writable.
   */
  void sendTo(String node, ControlPlaneMessage message) {
    for (SubscriberStream subscriber : streams.values()) {
      if (subscriber.isActiveStreamOf(node)) {
        subscriber.send(message);
      }
    }
  }

  /**
   * Returns the lowest configuration version and session revision acknowledged by the active
   * streams, and by the data planes whose active stream has ended a moment ago.
   */
  DeliveryProgress progress() {
    return DeliveryProgress.of(streams()).including(departed.slowestVersion(scheduler.nowMicros()));
  }

  /**
   * Returns the number of configuration bytes that data planes have acknowledged in segments since
   * the start. The number grows while a transfer makes progress.
   */
  long deliveredBytes() {
    return deliveredBytes;
  }

  /** Returns the delivery state of all streams, active or not. */
  Collection<SubscriberDelivery> streams() {
    return streams.values().stream().map(SubscriberStream::delivery).toList();
  }
}
