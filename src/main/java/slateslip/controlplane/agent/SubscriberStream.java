package slateslip.controlplane.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import slateslip.controlplane.agent.OutgoingMessages.Outgoing;
import slateslip.controlplane.agent.RetainedTransfers.Retained;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.delivery.SubscriberDelivery;
import slateslip.distribution.transfer.CompressedMessage;
import slateslip.distribution.transfer.SegmentSender;
import slateslip.distribution.transfer.SharedWindow;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * The stream of one data plane and what is sent on it. Configurations and session tables are sent
 * in segments, of which few bytes are in flight on this stream and on all streams of the agent, so
 * that a heartbeat, a pong or a quota waits for these bytes at most. A data plane that does not
 * read segments receives each message whole. Confined to the event loop.
 */
final class SubscriberStream {
  private final DataPlaneStream stream;
  private final DistributionCodec codec;
  private final OutgoingMessages outgoingMessages;
  private final SharedWindow window;
  private final SubscriberDelivery delivery;
  private final Lane configurations;
  private final Lane sessions;
  private Lane nextLane;

  /** Length of each whole message that the data plane has not acknowledged, oldest first. */
  private final Deque<Integer> unacknowledgedBytes = new ArrayDeque<>();

  private int wholeBytesInFlight;

  /** The bytes in flight of this stream that the shared window counts. */
  private int countedBytes;

  private boolean acceptsSegments;
  private final PartialTransfers partialTransfers = new PartialTransfers();

  /** Transfers that the data plane reported before it subscribed to configurations. */
  private final PartialTransfers transfersToContinue = new PartialTransfers();

  SubscriberStream(
      DataPlaneStream stream,
      DistributionCodec codec,
      OutgoingMessages outgoingMessages,
      SharedWindow window,
      SubscriberDelivery delivery) {
    this.stream = stream;
    this.codec = codec;
    this.outgoingMessages = outgoingMessages;
    this.window = window;
    this.delivery = delivery;
    configurations = new Lane(delivery::pendingConfigurations);
    sessions = new Lane(delivery::pendingSessions);
    nextLane = sessions;
  }

  SubscriberDelivery delivery() {
    return delivery;
  }

  boolean isActive() {
    return delivery.isActive();
  }

  /** Returns whether an active subscription of this data plane uses the stream. */
  boolean isActiveStreamOf(String node) {
    return isActive() && delivery.subscription().orElseThrow().node().equals(node);
  }

  /** Processes a subscription; transfers continue at what the data plane has received. */
  void subscribe(DataPlaneMessage.Subscribe message) {
    delivery.subscribe(message);
    acceptsSegments = message.acceptsSegments();
    partialTransfers.received(message.partial());
    clearTransfers();
    if (isActive()) {
      transfersToContinue.largestFirst().forEach(this::continueTransfer);
      transfersToContinue.clear();
    }
  }

  /** Continues the transfer of a message that is no longer the newest one of its kind. */
  private void continueTransfer(TransferPosition position) {
    Retained retained = outgoingMessages.retained(position.transfer()).orElse(null);
    if (retained instanceof Retained.Configuration configuration) {
      if (delivery.continueConfiguration(configuration.version())) {
        configurations.begin(configuration.message());
      }
    } else if (retained instanceof Retained.Sessions table) {
      delivery
          .continueSessions(table.revision(), table.complete(), table.warmingIds())
          .ifPresent(following -> sessions.begin(table.message(), following));
    }
  }

  /** Ends all transfers of a stream that has ended. */
  void closed() {
    clearTransfers();
  }

  private void clearTransfers() {
    unacknowledgedBytes.clear();
    wholeBytesInFlight = 0;
    configurations.clear();
    sessions.clear();
    countBytesInFlight();
  }

  /**
   * Records what is in force at the data plane, which acknowledges each message that it handles.
   */
  void acknowledge(DataPlaneMessage.Acknowledge message) {
    delivery.acknowledge(message);
    Integer oldest = unacknowledgedBytes.poll();
    wholeBytesInFlight -= oldest == null ? 0 : oldest;
    countBytesInFlight();
  }

  /**
   * Records what the data plane has received of a transfer. A data plane that has no complete state
   * yet reports each incomplete transfer before it subscribes to configurations.
   *
   * @return the number of bytes of a configuration that were not acknowledged before
   */
  int segmentAcknowledged(TransferPosition position) {
    partialTransfers.received(position);
    if (!isActive()) {
      transfersToContinue.received(position);
    }
    sessions.acknowledged(position);
    int progress = configurations.acknowledged(position);
    countBytesInFlight();
    return progress;
  }

  /** Sends what is pending, as far as the stream accepts data and few bytes are in flight. */
  void deliverPending() {
    if (!isActive() || !stream.isWritable()) {
      return;
    }
    if (acceptsSegments) {
      sendSegments();
    } else {
      delivery.pending().forEach(message -> stream.write(codec.encode(message)));
    }
    stream.flush();
  }

  /**
   * Sends messages and segments of both lanes in turn, so that neither waits for the whole other
   * transfer: room in the window goes first to the lane that did not send last.
   */
  private void sendSegments() {
    while (stream.isWritable() && (sendNext(nextLane) || sendNext(otherLane(nextLane)))) {
      countBytesInFlight();
    }
  }

  private Lane otherLane(Lane lane) {
    return lane == configurations ? sessions : configurations;
  }

  /** Sends one message or segment of a lane. Returns false if nothing is due or has room. */
  private boolean sendNext(Lane lane) {
    int maxBytes = maxSegmentBytes();
    if (maxBytes == 0 || !lane.sendNext(maxBytes)) {
      return false;
    }
    nextLane = otherLane(lane);
    return true;
  }

  /** Returns the maximum length of the next segment in bytes; 0 if none may be sent now. */
  private int maxSegmentBytes() {
    return window.maxSegmentBytes(bytesInFlight());
  }

  private int bytesInFlight() {
    return wholeBytesInFlight + configurations.bytesInFlight() + sessions.bytesInFlight();
  }

  private void countBytesInFlight() {
    int bytes = bytesInFlight();
    window.changed(bytes - countedBytes);
    countedBytes = bytes;
  }

  private void writeWhole(byte[] encoded) {
    stream.write(encoded);
    unacknowledgedBytes.add(encoded.length);
    wholeBytesInFlight += encoded.length;
  }

  /** Sends a message that does not wait for transfers, unless the data plane does not read. */
  void send(ControlPlaneMessage message) {
    send(codec.encode(message));
  }

  /** Sends an encoded message that does not wait for transfers. */
  void send(byte[] encoded) {
    if (stream.isWritable()) {
      stream.write(encoded);
      stream.flush();
    }
  }

  /**
   * Messages of one kind, which are sent in order. While one of them is in transfer, later changes
   * are not queued; they are sent as one change afterwards.
   */
  private final class Lane {
    private final Supplier<List<ControlPlaneMessage>> pending;
    private final Deque<ControlPlaneMessage> waiting = new ArrayDeque<>();
    private SegmentSender current;

    private Lane(Supplier<List<ControlPlaneMessage>> pending) {
      this.pending = pending;
    }

    private void clear() {
      waiting.clear();
      current = null;
    }

    /**
     * Sends the next segment of the transfer. Without a transfer, sends the next message that is
     * due, of which a long one begins a transfer. Returns false if nothing is due.
     */
    private boolean sendNext(int maxBytes) {
      if (current == null) {
        return sendNextMessage(maxBytes);
      }
      return current.hasNext() && sendSegment(maxBytes);
    }

    private boolean sendNextMessage(int maxBytes) {
      if (waiting.isEmpty()) {
        waiting.addAll(pending.get());
      }
      if (waiting.isEmpty()) {
        return false;
      }
      Outgoing outgoing = outgoingMessages.of(waiting.remove());
      if (outgoing instanceof Outgoing.Whole whole) {
        writeWhole(whole.encoded());
        return true;
      }
      begin(((Outgoing.Segmented) outgoing).message());
      return sendSegment(maxBytes);
    }

    private void begin(CompressedMessage message) {
      current = new SegmentSender(message, partialTransfers.of(message.transfer()));
    }

    private void begin(CompressedMessage message, ControlPlaneMessage following) {
      begin(message);
      waiting.add(following);
    }

    private boolean sendSegment(int maxBytes) {
      stream.write(codec.encode(current.next(maxBytes)));
      return true;
    }

    private int bytesInFlight() {
      return current == null ? 0 : current.bytesInFlight();
    }

    private int acknowledged(TransferPosition position) {
      if (current == null || current.transfer() != position.transfer()) {
        return 0;
      }
      int progress = current.acknowledged(position.receivedBytes());
      if (current.isComplete()) {
        current = null;
      }
      return progress;
    }
  }
}
