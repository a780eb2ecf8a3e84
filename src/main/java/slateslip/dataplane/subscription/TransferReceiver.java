package slateslip.dataplane.subscription;

import java.util.List;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.transfer.SegmentAssembler;
import slateslip.distribution.transfer.SegmentOutcome;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.distribution.DistributionCodec;

/** Assembles and decodes the messages that control agents send in segments. */
final class TransferReceiver {
  private final SegmentAssembler assembler = new SegmentAssembler(Framing.MAX_MESSAGE_BYTES);
  private final DistributionCodec codec = new DistributionCodec();

  /** Result of receiving one segment. */
  sealed interface Result {
    /** More segments are needed, or the message is unknown to this program version. */
    record Incomplete(TransferPosition position) implements Result {}

    /** The message is complete. */
    record Complete(TransferPosition position, ControlPlaneMessage message) implements Result {}

    /** The agent is faulty. */
    record Malformed(String reason) implements Result {}
  }

  Result add(ControlPlaneMessage.Segment segment) {
    SegmentOutcome outcome = assembler.add(segment);
    if (outcome instanceof SegmentOutcome.Complete complete) {
      return decode(complete);
    }
    if (outcome instanceof SegmentOutcome.Incomplete incomplete) {
      return new Result.Incomplete(incomplete.position());
    }
    return new Result.Malformed(((SegmentOutcome.Corrupt) outcome).reason());
  }

  private Result decode(SegmentOutcome.Complete complete) {
    Decoded<ControlPlaneMessage> decoded = codec.decodeToDataPlane(complete.message());
    if (decoded instanceof Decoded.Malformed<ControlPlaneMessage> malformed) {
      return new Result.Malformed(malformed.reason());
    }
    if (decoded instanceof Decoded.Message<ControlPlaneMessage> known) {
      return known.value() instanceof ControlPlaneMessage.Segment
          ? new Result.Malformed("a transfer contains a segment")
          : new Result.Complete(complete.position(), known.value());
    }
    return new Result.Incomplete(complete.position());
  }

  /** Returns the incomplete transfer with the most bytes, or {@link TransferPosition#NONE}. */
  TransferPosition largestPartial() {
    return assembler.largestPartial();
  }

  /** Returns what has been received of each incomplete transfer. */
  List<TransferPosition> partials() {
    return assembler.partials();
  }
}
