package slateslip.distribution.transfer;

import java.io.ByteArrayOutputStream;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.distribution.ControlPlaneMessage.Segment;
import slateslip.distribution.TransferPosition;

/**
 * Assembles messages from their segments. Parts outlive the stream on which they arrived, so that a
 * transfer continues on another stream. Memory is allocated for bytes that have arrived, not for
 * the length that a segment states.
 */
public final class SegmentAssembler {
  /**
   * Number of incomplete transfers that are kept. On a link that breaks often, a data plane may
   * receive parts of a session table from each of three agents and parts of several configurations.
   */
  private static final int MAX_PARTIAL_TRANSFERS = 8;

  /** Number of the longest messages whose bytes all incomplete transfers may have together. */
  private static final int MAX_PARTIAL_MESSAGES = 2;

  private final int maxMessageBytes;
  private final Map<Long, ByteArrayOutputStream> partial = new LinkedHashMap<>(4, 0.75f, true);
  private TransferPosition lastCompleted = TransferPosition.NONE;

  /**
   * Creates an assembler without any segment.
   *
   * @param maxMessageBytes maximum length of a message before and after compression, in bytes
   */
  public SegmentAssembler(int maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
  }

  /**
   * Adds a segment. A segment that was received before changes nothing, and a segment after a gap
   * is not kept; in both cases the outcome tells what has been received.
   */
  public SegmentOutcome add(Segment segment) {
    long end = (long) segment.offset() + segment.content().length;
    if (segment.offset() < 0
        || segment.totalBytes() > maxMessageBytes
        || end > segment.totalBytes()) {
      return new SegmentOutcome.Corrupt("a segment lies outside of its transfer");
    }
    if (isLateSegmentOfCompletedTransfer(segment)) {
      return new SegmentOutcome.Incomplete(lastCompleted);
    }
    ByteArrayOutputStream received = received(segment.transfer());
    if (segment.offset() <= received.size() && end > received.size()) {
      int known = received.size() - segment.offset();
      received.write(segment.content(), known, segment.content().length - known);
    }
    TransferPosition position = new TransferPosition(segment.transfer(), received.size());
    return received.size() < segment.totalBytes()
        ? new SegmentOutcome.Incomplete(position)
        : complete(position, received.toByteArray());
  }

  /** A first segment begins the transfer again: the sender sends the same message once more. */
  private boolean isLateSegmentOfCompletedTransfer(Segment segment) {
    return segment.offset() > 0
        && segment.transfer() == lastCompleted.transfer()
        && !partial.containsKey(segment.transfer());
  }

  private ByteArrayOutputStream received(long transfer) {
    ByteArrayOutputStream received =
        partial.computeIfAbsent(transfer, added -> new ByteArrayOutputStream());
    while (partial.size() > MAX_PARTIAL_TRANSFERS
        || (partial.size() > 1 && partialBytes() > (long) MAX_PARTIAL_MESSAGES * maxMessageBytes)) {
      Iterator<Long> leastRecent = partial.keySet().iterator();
      leastRecent.next();
      leastRecent.remove();
    }
    return received;
  }

  private long partialBytes() {
    return partial.values().stream().mapToLong(ByteArrayOutputStream::size).sum();
  }

  private SegmentOutcome complete(TransferPosition position, byte[] content) {
    partial.remove(position.transfer());
    if (CompressedMessage.identity(content) != position.transfer()) {
      return new SegmentOutcome.Corrupt("the segments of a transfer do not match its identity");
    }
    Optional<byte[]> message = CompressedMessage.decompress(content, maxMessageBytes);
    if (message.isEmpty()) {
      return new SegmentOutcome.Corrupt("the segments of a transfer cannot be decompressed");
    }
    lastCompleted = position;
    return new SegmentOutcome.Complete(position, message.get());
  }

  /** Returns the incomplete transfer with the most bytes, or {@link TransferPosition#NONE}. */
  public TransferPosition largestPartial() {
    return partials().stream()
        .max(Comparator.comparingInt(TransferPosition::receivedBytes))
        .orElse(TransferPosition.NONE);
  }

  /** Returns what has been received of each incomplete transfer. */
  public List<TransferPosition> partials() {
    return partial.entrySet().stream()
        .filter(each -> each.getValue().size() > 0)
        .map(each -> new TransferPosition(each.getKey(), each.getValue().size()))
        .toList();
  }
}
