package slateslip.controlplane.agent;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
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
import slateslip.distribution.delivery.SubscriberDelivery;
import slateslip.distribution.sessions.SessionTable;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * Manages the streams of data planes that are connected to this agent. Confined to the event loop.
 */
final class DataPlaneSubscriptions {
  private static final Logger LOG = Logger.getLogger(DataPlaneSubscriptions.class);

  private final DistributionCodec codec = new DistributionCodec();
  private final Map<DataPlaneStream, SubscriberDelivery> streams = new LinkedHashMap<>();
  private final ConfigurationSource configurations;
  private final SessionTable sessions;
  private final Supplier<ControlPlaneMessage.Heartbeat> heartbeat;
  private final Listener listener;
  private final BooleanSupplier keyLeaseRequired;
  private final Consumer<LongConsumer> versionConfirmation;

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
      ConfigurationSource configurations,
      SessionTable sessions,
      Supplier<ControlPlaneMessage.Heartbeat> heartbeat,
      Listener listener,
      BooleanSupplier keyLeaseRequired,
      Consumer<LongConsumer> versionConfirmation) {
    this.configurations = configurations;
    this.sessions = sessions;
    this.heartbeat = heartbeat;
    this.listener = listener;
    this.keyLeaseRequired = keyLeaseRequired;
    this.versionConfirmation = versionConfirmation;
  }

  void received(DataPlaneStream stream, DataPlaneMessage message) {
    SubscriberDelivery delivery = streams.get(stream);
    if (message instanceof DataPlaneMessage.Subscribe subscribe) {
      subscribe(stream, subscribe);
    } else if (delivery == null) {
      stream.close();
    } else if (message instanceof DataPlaneMessage.Acknowledge acknowledge) {
      delivery.acknowledge(acknowledge);
      listener.progressChanged();
    } else if (message instanceof DataPlaneMessage.Demand demand) {
      delivery.subscription().ifPresent(subscriber -> listener.demandReceived(subscriber, demand));
    } else if (message instanceof DataPlaneMessage.Ping ping) {
      respond(stream, ping);
    }
  }

  private void respond(DataPlaneStream stream, DataPlaneMessage.Ping ping) {
    if (keyLeaseRequired.getAsBoolean()) {
      versionConfirmation.accept(version -> sendConfirmedPong(stream, ping, version));
    } else {
      send(stream, new ControlPlaneMessage.Pong(ping.nonce()));
    }
  }

  /**
   * Responds to a ping if API keys are leased. The heartbeat that precedes the pong carries a
   * version that is at least as new as every configuration acknowledged before the ping. The lease
   * of the data plane depends on this order of heartbeat and pong.
   */
  private void sendConfirmedPong(DataPlaneStream stream, DataPlaneMessage.Ping ping, long version) {
    if (!streams.containsKey(stream)) {
      return;
    }
    ControlPlaneMessage.Heartbeat newest = heartbeat.get();
    send(
        stream,
        new ControlPlaneMessage.Heartbeat(
            newest.current(),
            Math.max(newest.configurationVersion(), version),
            newest.sessionRevision(),
            newest.controlAgents()));
    send(stream, new ControlPlaneMessage.Pong(ping.nonce()));
  }

  private void subscribe(DataPlaneStream stream, DataPlaneMessage.Subscribe message) {
    if (!streams.containsKey(stream)) {
      LOG.infof("data plane subscribed: node=%s zone=%s", message.node(), message.zone());
    }
    SubscriberDelivery delivery =
        streams.computeIfAbsent(stream, key -> new SubscriberDelivery(configurations, sessions));
    delivery.subscribe(message);
    send(stream, heartbeat.get());
    deliverPending(stream, delivery);
    listener.progressChanged();
  }

  void closed(DataPlaneStream stream) {
    SubscriberDelivery delivery = streams.remove(stream);
    if (delivery != null && delivery.isActive()) {
      listener.progressChanged();
    }
  }

  /** Sends pending configurations and sessions to all active streams that are writable. */
  void deliverPending() {
    streams.forEach(this::deliverPending);
  }

  /** Sends pending configurations and sessions to a stream that has become writable again. */
  void writable(DataPlaneStream stream) {
    SubscriberDelivery delivery = streams.get(stream);
    if (delivery != null) {
      deliverPending(stream, delivery);
    }
  }

  private void deliverPending(DataPlaneStream stream, SubscriberDelivery delivery) {
    if (!stream.isWritable()) {
      return;
    }
    for (ControlPlaneMessage message : delivery.pending()) {
      stream.write(codec.encode(message));
    }
    stream.flush();
  }

  /** Sends a heartbeat on every writable stream. */
  void sendHeartbeats() {
    byte[] encoded = codec.encode(heartbeat.get());
    streams.keySet().forEach(stream -> send(stream, encoded));
  }

  /**
   * Sends a message on the active stream of a data plane; the message is dropped if the stream is
   * not writable.
   */
  void sendTo(String node, ControlPlaneMessage message) {
    streams.forEach(
        (stream, delivery) -> {
          if (delivery.isActive() && delivery.subscription().get().node().equals(node)) {
            send(stream, message);
          }
        });
  }

  private void send(DataPlaneStream stream, ControlPlaneMessage message) {
    send(stream, codec.encode(message));
  }

  private static void send(DataPlaneStream stream, byte[] encoded) {
    if (stream.isWritable()) {
      stream.write(encoded);
      stream.flush();
    }
  }

  /**
   * Returns the lowest configuration version and session revision acknowledged by the active
   * streams.
   */
  DeliveryProgress progress() {
    return DeliveryProgress.of(streams.values());
  }

  /** Returns the delivery state of all streams, active or not. */
  Collection<SubscriberDelivery> streams() {
    return List.copyOf(streams.values());
  }
}
