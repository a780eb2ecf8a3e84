package slateslip.controlplane.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.transfer.CompressedMessage;
import slateslip.distribution.transfer.SegmentSender;

/**
 * The messages of possibly large size to one peer, in order. A long message is compressed and sent
 * in segments of which few bytes are in flight, so that heartbeats and votes do not wait for it. A
 * transfer continues after the connection was interrupted. Confined to the event loop.
 */
final class PeerTransferQueue {
  /** Longest message that is sent whole, in bytes. */
  static final int MAX_WHOLE_BYTES = SegmentSender.SEGMENT_BYTES;

  /** Maximum number of bytes in flight: 17 ms on a link of 120 Mbit/s. */
  private static final int MAX_BYTES_IN_FLIGHT = 256 * 1024;

  /**
   * Maximum length of all messages that wait, in bytes. Further messages are lost, except the state
   * of the replica, of which at most one waits.
   */
  private static final int MAX_WAITING_BYTES = 16 * 1024 * 1024;

  /**
   * Time without an acknowledgement after which the bytes in flight are sent again, because the
   * acknowledgements travel on another connection, which may have been interrupted.
   */
  private static final long RETRANSMIT_MICROS = 1_000_000;

  private final Scheduler scheduler;
  private final SharedCompression compression;
  private final Consumer<ControlPeerMessage.Segment> segments;
  private final Consumer<byte[]> wholeMessages;
  private final Runnable onProgress;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private CompressedMessage currentMessage;
  private SegmentSender current;
  private boolean currentReplaceable;
  private boolean connected;
  private boolean acceptsSegments;
  private long lastProgressMicros;

  /**
   * A message that waits for earlier ones.
   *
   * @param replaceable whether a message with {@link Order#REPLACES} contains what it contains
   */
  private record Waiting(byte[] message, boolean replaceable) {}

  /** How a message relates to messages that were sent before and have not been delivered. */
  enum Order {
    /** The message is delivered after them and is never replaced. */
    INDEPENDENT,
    /** The message is delivered after them. */
    FOLLOWS,
    /** The message contains what they contain, unless they are independent. */
    REPLACES
  }

  /**
   * Creates a queue without messages whose peer is not connected.
   *
   * @param segments sends a segment to the peer
   * @param wholeMessages sends an encoded message to the peer
   * @param onProgress called after the peer has acknowledged bytes while {@link #holdsReplaceable},
   *     also when it thereby ends
   */
  PeerTransferQueue(
      Scheduler scheduler,
      SharedCompression compression,
      Consumer<ControlPeerMessage.Segment> segments,
      Consumer<byte[]> wholeMessages,
      Runnable onProgress) {
    this.scheduler = scheduler;
    this.compression = compression;
    this.segments = segments;
    this.wholeMessages = wholeMessages;
    this.onProgress = onProgress;
  }

  /**
   * Returns whether messages may be sent with this queue: the peer is connected and reads segments,
   * or a transfer to it was interrupted a moment ago.
   */
  boolean isUsable() {
    return acceptsSegments && (connected || current != null);
  }

  /**
   * Returns whether a message other than an independent one is in transfer or waits. Independent
   * ones do not count, so that an operator who reads again and again does not hide the loss of a
   * record.
   */
  boolean holdsReplaceable() {
    return current != null
        && (currentReplaceable || waiting.stream().anyMatch(Waiting::replaceable));
  }

  /** Sends an encoded message after those that were sent before; the message may be lost. */
  void send(byte[] message, Order order) {
    Waiting next = new Waiting(message, order != Order.INDEPENDENT);
    if (order == Order.REPLACES) {
      waiting.removeIf(Waiting::replaceable);
    }
    if (current == null) {
      begin(next);
    } else if (order == Order.REPLACES && currentReplaceable) {
      replaceCurrent(message);
    } else if (order == Order.REPLACES || waitingBytes() + message.length <= MAX_WAITING_BYTES) {
      waiting.add(next);
    }
  }

  private long waitingBytes() {
    return waiting.stream().mapToLong(each -> each.message().length).sum();
  }

  private void begin(Waiting next) {
    if (next.message().length <= MAX_WHOLE_BYTES) {
      wholeMessages.accept(next.message());
    } else {
      currentReplaceable = next.replaceable();
      begin(compression.compress(next.message()));
    }
  }

  private void begin(CompressedMessage message) {
    currentMessage = message;
    current = new SegmentSender(message, TransferPosition.NONE);
    lastProgressMicros = scheduler.nowMicros();
    sendSegments();
  }

  /** Replaces the message in transfer; a message with the same bytes continues the transfer. */
  private void replaceCurrent(byte[] message) {
    if (message.length <= MAX_WHOLE_BYTES) {
      current = null;
      wholeMessages.accept(message);
      beginNext();
      return;
    }
    CompressedMessage compressed = compression.compress(message);
    if (compressed.transfer() != current.transfer()) {
      begin(compressed);
    }
  }

  private void sendSegments() {
    while (connected
        && current.hasNext()
        && current.bytesInFlight() + SegmentSender.SEGMENT_BYTES <= MAX_BYTES_IN_FLIGHT) {
      segments.accept(new ControlPeerMessage.Segment(current.next(SegmentSender.SEGMENT_BYTES)));
    }
  }

  /** Records what the peer has received of a transfer. */
  void acknowledged(TransferPosition position) {
    if (current == null || current.transfer() != position.transfer()) {
      return;
    }
    boolean heldReplaceable = holdsReplaceable();
    if (current.acknowledged(position.receivedBytes()) > 0) {
      lastProgressMicros = scheduler.nowMicros();
    }
    if (current.isComplete()) {
      current = null;
      beginNext();
    } else {
      sendSegments();
    }
    if (heldReplaceable) {
      onProgress.run();
    }
  }

  private void beginNext() {
    while (current == null && !waiting.isEmpty()) {
      begin(waiting.remove());
    }
  }

  /**
   * Continues the transfer on a new connection.
   *
   * @param peerAcceptsSegments whether the peer reads segments; otherwise all messages are lost
   */
  void connected(boolean peerAcceptsSegments) {
    connected = true;
    acceptsSegments = peerAcceptsSegments;
    if (acceptsSegments) {
      retransmit();
    } else if (current != null) {
      waiting.clear();
      current = null;
      onProgress.run();
    }
  }

  /** Suspends the transfer until the peer is connected again. */
  void disconnected() {
    connected = false;
  }

  /** Sends the bytes in flight again if they have not been acknowledged for too long. */
  void retransmitIfDue() {
    if (scheduler.nowMicros() - lastProgressMicros >= RETRANSMIT_MICROS) {
      retransmit();
    }
  }

  private void retransmit() {
    if (current != null) {
      int acknowledgedBytes = current.acknowledgedBytes();
      current =
          new SegmentSender(
              currentMessage, new TransferPosition(current.transfer(), acknowledgedBytes));
      lastProgressMicros = scheduler.nowMicros();
      sendSegments();
    }
  }
}
