package slateslip.controlplane;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import slateslip.distribution.ToControl;
import slateslip.distribution.ToDataPlane;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.delivery.DeliveryProgress;
import slateslip.distribution.delivery.SubscriberDelivery;
import slateslip.distribution.sessions.SessionTable;
import slateslip.protocol.Framing;
import slateslip.protocol.distribution.DistributionCodec;

/** The streams of data planes at this agent. Confined to the event loop. */
final class Subscribers {
  private static final Logger LOG = Logger.getLogger(Subscribers.class);

  private final DistributionCodec codec = new DistributionCodec();
  private final Map<Channel, SubscriberDelivery> streams = new LinkedHashMap<>();
  private final ConfigurationSource configurations;
  private final SessionTable sessions;
  private final Supplier<ToDataPlane.Heartbeat> heartbeat;
  private final Listener listener;

  /** Is told what data planes say. */
  interface Listener {
    /** An active stream has come, gone or acknowledged something. */
    void progressed();

    /** A data plane tells its demand. */
    void demand(ToControl.Subscribe subscriber, ToControl.Demand demand);
  }

  Subscribers(
      ConfigurationSource configurations,
      SessionTable sessions,
      Supplier<ToDataPlane.Heartbeat> heartbeat,
      Listener listener) {
    this.configurations = configurations;
    this.sessions = sessions;
    this.heartbeat = heartbeat;
    this.listener = listener;
  }

  void received(Channel channel, ToControl message) {
    SubscriberDelivery stream = streams.get(channel);
    if (message instanceof ToControl.Subscribe subscribe) {
      subscribe(channel, subscribe);
    } else if (stream == null) {
      channel.close();
    } else if (message instanceof ToControl.Acknowledge acknowledge) {
      stream.acknowledge(acknowledge);
      listener.progressed();
    } else if (message instanceof ToControl.Demand demand) {
      stream.subscription().ifPresent(subscriber -> listener.demand(subscriber, demand));
    } else if (message instanceof ToControl.Ping ping) {
      send(channel, new ToDataPlane.Pong(ping.nonce()));
    }
  }

  private void subscribe(Channel channel, ToControl.Subscribe message) {
    if (!streams.containsKey(channel)) {
      LOG.infof("data plane %s subscribed", message.node());
    }
    SubscriberDelivery stream =
        streams.computeIfAbsent(channel, key -> new SubscriberDelivery(configurations, sessions));
    stream.subscribe(message);
    send(channel, heartbeat.get());
    pump(channel, stream);
    listener.progressed();
  }

  void closed(Channel channel) {
    SubscriberDelivery stream = streams.remove(channel);
    if (stream != null && stream.isActive()) {
      listener.progressed();
    }
  }

  /** Sends what has changed to all active streams that take more. */
  void pump() {
    streams.forEach(this::pump);
  }

  /** The stream takes more again. */
  void writable(Channel channel) {
    SubscriberDelivery stream = streams.get(channel);
    if (stream != null) {
      pump(channel, stream);
    }
  }

  private void pump(Channel channel, SubscriberDelivery stream) {
    if (!channel.isWritable()) {
      return;
    }
    for (ToDataPlane message : stream.pending()) {
      channel.write(frame(channel, message), channel.voidPromise());
    }
    channel.flush();
  }

  /** Sends a heartbeat on every stream that takes more. */
  void beat() {
    ToDataPlane.Heartbeat message = heartbeat.get();
    streams.keySet().forEach(channel -> send(channel, message));
  }

  /** Sends a message to the active stream of a data plane. */
  void sendTo(String node, ToDataPlane message) {
    streams.forEach(
        (channel, stream) -> {
          if (stream.isActive() && stream.subscription().get().node().equals(node)) {
            send(channel, message);
          }
        });
  }

  private void send(Channel channel, ToDataPlane message) {
    if (channel.isWritable()) {
      channel.writeAndFlush(frame(channel, message), channel.voidPromise());
    }
  }

  private ByteBuf frame(Channel channel, ToDataPlane message) {
    return Framing.frame(channel.alloc(), codec.encode(message));
  }

  /** How far the active streams are. */
  DeliveryProgress progress() {
    return DeliveryProgress.of(streams.values());
  }

  /** All streams. */
  Collection<SubscriberDelivery> streams() {
    return List.copyOf(streams.values());
  }
}
