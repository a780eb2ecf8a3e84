package slateslip.distribution.transfer;

import slateslip.distribution.TransferPosition;

/** Result of receiving one segment. */
public sealed interface SegmentOutcome {
  /** More segments are needed; {@code position} is what has been received so far. */
  record Incomplete(TransferPosition position) implements SegmentOutcome {}

  /** The transfer is complete; {@code message} is the decompressed message. */
  record Complete(TransferPosition position, byte[] message) implements SegmentOutcome {}

  /** The sender is faulty; nothing of the transfer is kept. */
  record Corrupt(String reason) implements SegmentOutcome {}
}
