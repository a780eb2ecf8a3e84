package slateslip.distribution.transfer;

import java.util.Optional;
import slateslip.distribution.TransferPosition;

/** Result of receiving one segment. */
public sealed interface SegmentOutcome {
  /** Returns what has been received of the transfer; empty if the sender is faulty. */
  default Optional<TransferPosition> reached() {
    if (this instanceof Incomplete incomplete) {
      return Optional.of(incomplete.position());
    }
    return this instanceof Complete complete ? Optional.of(complete.position()) : Optional.empty();
  }

  /** More segments are needed; {@code position} is what has been received so far. */
  record Incomplete(TransferPosition position) implements SegmentOutcome {}

  /** The transfer is complete; {@code message} is the decompressed message. */
  record Complete(TransferPosition position, byte[] message) implements SegmentOutcome {}

  /** The sender is faulty; nothing of the transfer is kept. */
  record Corrupt(String reason) implements SegmentOutcome {}
}
