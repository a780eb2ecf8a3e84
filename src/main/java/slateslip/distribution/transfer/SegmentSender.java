package slateslip.distribution.transfer;

import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.TransferPosition;

/** Tracks which bytes of one transfer have been sent to a data plane and acknowledged by it. */
public final class SegmentSender {
  /** Maximum number of compressed bytes in a segment. */
  public static final int SEGMENT_BYTES = 16 * 1024;

  private final CompressedMessage message;
  private int sentBytes;
  private int acknowledgedBytes;

  /**
   * Creates a transfer.
   *
   * @param partial what the data plane has received; the transfer begins there if it has the same
   *     identity, and otherwise at the first byte
   */
  public SegmentSender(CompressedMessage message, TransferPosition partial) {
    this.message = message;
    boolean resumed =
        partial.transfer() == message.transfer()
            && partial.receivedBytes() > 0
            && partial.receivedBytes() < message.length();
    sentBytes = resumed ? partial.receivedBytes() : 0;
    acknowledgedBytes = sentBytes;
  }

  /** Returns the identity of the transfer. */
  public long transfer() {
    return message.transfer();
  }

  /** Returns whether not all bytes have been sent. */
  public boolean hasNext() {
    return sentBytes < message.length();
  }

  /**
   * Returns the next segment and records it as sent. Must only be called if there is one.
   *
   * @param maxBytes maximum length of the segment's content
   */
  public ControlPlaneMessage.Segment next(int maxBytes) {
    ControlPlaneMessage.Segment segment = message.segment(sentBytes, maxBytes);
    sentBytes += segment.content().length;
    return segment;
  }

  /** Returns the number of bytes that have been acknowledged. */
  public int acknowledgedBytes() {
    return acknowledgedBytes;
  }

  /** Returns the number of bytes that have been sent and are not acknowledged. */
  public int bytesInFlight() {
    return sentBytes - acknowledgedBytes;
  }

  /**
   * Records what the data plane has received. A data plane that has lost its part of the transfer
   * reports fewer bytes than before, and the transfer continues from there.
   *
   * @return the number of bytes that were not acknowledged before
   */
  public int acknowledged(int receivedBytes) {
    int received = Math.max(0, Math.min(receivedBytes, message.length()));
    int progress = received - acknowledgedBytes;
    acknowledgedBytes = received;
    if (progress < 0) {
      sentBytes = received;
      return 0;
    }
    sentBytes = Math.max(sentBytes, received);
    return progress;
  }

  /** Returns whether the data plane has received all bytes. */
  public boolean isComplete() {
    return acknowledgedBytes == message.length();
  }
}
