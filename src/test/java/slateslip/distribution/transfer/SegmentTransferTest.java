package slateslip.distribution.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import slateslip.distribution.ControlPlaneMessage.Segment;
import slateslip.distribution.TransferPosition;

/** Tests that a transfer delivers exactly the message over streams that break between segments. */
final class SegmentTransferTest {
  private static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;
  private static final int SEEDS = 300;
  private static final int MAX_STREAMS = 1_000;

  private final SegmentAssembler assembler = new SegmentAssembler(MAX_MESSAGE_BYTES);

  private static byte[] randomBytes(SplittableRandom random, int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }

  /** Delivers one message; each stream loses what is in flight when it breaks. */
  private void transfer(SplittableRandom random, byte[] message) {
    CompressedMessage compressed = CompressedMessage.of(message);
    byte[] received = null;
    for (int streams = 0; received == null; streams++) {
      assertThat("streams", streams, lessThanOrEqualTo(MAX_STREAMS));
      SegmentSender sender = new SegmentSender(compressed, assembler.largestPartial());
      received = transferOnOneStream(random, sender);
    }
    assertThat(received, equalTo(message));
  }

  private byte[] transferOnOneStream(SplittableRandom random, SegmentSender sender) {
    Deque<Segment> inFlight = new ArrayDeque<>();
    while (sender.hasNext() || !inFlight.isEmpty()) {
      if (random.nextInt(20) == 0) {
        return null;
      }
      if (sender.hasNext() && random.nextBoolean()) {
        inFlight.add(sender.next(random.nextInt(1, SegmentSender.SEGMENT_BYTES + 1)));
      } else if (!inFlight.isEmpty()) {
        SegmentOutcome outcome = assembler.add(inFlight.remove());
        if (outcome instanceof SegmentOutcome.Complete complete) {
          sender.acknowledged(complete.position().receivedBytes());
          assertThat(sender.isComplete(), is(true));
          return complete.message();
        }
        sender.acknowledged(((SegmentOutcome.Incomplete) outcome).position().receivedBytes());
      }
    }
    return null;
  }

  @Test
  void messagesOfAnyLengthAreDeliveredOverBreakingStreams() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      transfer(random, randomBytes(random, random.nextInt(1, 400_000)));
    }
  }

  @Test
  void repetitiveMessageIsCompressed() {
    byte[] message = new byte[1_000_000];
    Arrays.fill(message, (byte) 'r');
    assertThat(CompressedMessage.of(message).length(), lessThanOrEqualTo(10_000));
    transfer(new SplittableRandom(1), message);
  }

  @Test
  void sameMessageHasSameIdentity() {
    byte[] message = randomBytes(new SplittableRandom(2), 50_000);
    long transfer = CompressedMessage.of(message).transfer();
    assertThat(CompressedMessage.of(message.clone()).transfer(), is(transfer));
    message[7]++;
    assertThat(CompressedMessage.of(message).transfer() == transfer, is(false));
  }

  @Test
  void transferRestartsAtDataPlaneThatHasLostItsPart() {
    byte[] message = randomBytes(new SplittableRandom(3), 100_000);
    CompressedMessage compressed = CompressedMessage.of(message);
    TransferPosition lost = new TransferPosition(compressed.transfer(), 65_536);
    SegmentSender sender = new SegmentSender(compressed, lost);
    Segment afterGap = sender.next(SegmentSender.SEGMENT_BYTES);
    assertThat(afterGap.offset(), is(65_536));
    SegmentOutcome outcome = assembler.add(afterGap);
    TransferPosition position = ((SegmentOutcome.Incomplete) outcome).position();
    assertThat(position.receivedBytes(), is(0));
    assertThat(sender.acknowledged(position.receivedBytes()), is(0));
    assertThat(sender.next(SegmentSender.SEGMENT_BYTES).offset(), is(0));
  }

  @Test
  void partOfAnotherMessageIsNotContinued() {
    CompressedMessage compressed =
        CompressedMessage.of(randomBytes(new SplittableRandom(4), 60_000));
    SegmentSender sender = new SegmentSender(compressed, new TransferPosition(1, 16_384));
    assertThat(sender.next(SegmentSender.SEGMENT_BYTES).offset(), is(0));
  }

  @Test
  void repeatedSegmentOfCompletedTransferIsAcknowledged() {
    CompressedMessage compressed =
        CompressedMessage.of(randomBytes(new SplittableRandom(5), 40_000));
    SegmentSender sender = new SegmentSender(compressed, TransferPosition.NONE);
    Segment last = null;
    while (sender.hasNext()) {
      last = sender.next(SegmentSender.SEGMENT_BYTES);
      assembler.add(last);
    }
    TransferPosition whole = new TransferPosition(compressed.transfer(), compressed.length());
    assertThat(assembler.add(last), is(new SegmentOutcome.Incomplete(whole)));
    assertThat(assembler.largestPartial(), is(TransferPosition.NONE));
  }

  /** Guards against a transfer that is dropped because parts of others arrive (issue 56). */
  @Test
  void partsOfOtherTransfersDoNotEndTransfer() {
    SplittableRandom random = new SplittableRandom(6);
    CompressedMessage message = CompressedMessage.of(randomBytes(random, 60_000));
    SegmentSender sender = new SegmentSender(message, TransferPosition.NONE);
    assembler.add(sender.next(SegmentSender.SEGMENT_BYTES));
    for (int other = 0; other < 5; other++) {
      CompressedMessage newer = CompressedMessage.of(randomBytes(random, 60_000));
      assembler.add(
          new SegmentSender(newer, TransferPosition.NONE).next(SegmentSender.SEGMENT_BYTES));
    }
    assertThat(
        assembler.partials(),
        hasItem(new TransferPosition(message.transfer(), SegmentSender.SEGMENT_BYTES)));
  }

  /** Guards against incomplete transfers that use up the memory. */
  @Test
  void incompleteTransfersHaveLimitedLength() {
    SegmentAssembler small = new SegmentAssembler(40_000);
    for (int transfer = 1; transfer <= 8; transfer++) {
      small.add(new Segment(transfer, 40_000, 0, new byte[16_000]));
    }
    long bytes = small.partials().stream().mapToLong(TransferPosition::receivedBytes).sum();
    assertThat(bytes, lessThanOrEqualTo(96_000L));
    assertThat(small.partials(), hasItem(new TransferPosition(8, 16_000)));
  }

  /** Guards against a message that is lost because the same bytes were received before. */
  @Test
  void sameMessageIsDeliveredAgain() {
    SplittableRandom random = new SplittableRandom(7);
    byte[] message = randomBytes(random, 100_000);
    transfer(random, message);
    transfer(random, message);
  }

  @Test
  void segmentsOutsideOfTheirTransferAreCorrupt() {
    byte[] content = new byte[10];
    assertThat(
        assembler.add(new Segment(1, 9, 0, content)), is(instanceOf(SegmentOutcome.Corrupt.class)));
    assertThat(
        assembler.add(new Segment(1, 30, -1, content)),
        is(instanceOf(SegmentOutcome.Corrupt.class)));
    assertThat(
        assembler.add(new Segment(1, -1, 0, content)),
        is(instanceOf(SegmentOutcome.Corrupt.class)));
    assertThat(
        assembler.add(new Segment(1, MAX_MESSAGE_BYTES + 1, 0, content)),
        is(instanceOf(SegmentOutcome.Corrupt.class)));
    assertThat(
        assembler.add(new Segment(1, Integer.MAX_VALUE, Integer.MAX_VALUE, content)),
        is(instanceOf(SegmentOutcome.Corrupt.class)));
  }

  @Test
  void transferThatDoesNotMatchItsIdentityIsCorrupt() {
    CompressedMessage compressed = CompressedMessage.of(new byte[20]);
    Segment segment =
        new SegmentSender(compressed, TransferPosition.NONE).next(SegmentSender.SEGMENT_BYTES);
    Segment altered =
        new Segment(
            segment.transfer() + 1, segment.totalBytes(), segment.offset(), segment.content());
    assertThat(assembler.add(altered), is(instanceOf(SegmentOutcome.Corrupt.class)));
    assertThat(assembler.largestPartial(), is(TransferPosition.NONE));
  }

  /** Guards against a short transfer that decompresses to more than the memory holds. */
  @Test
  void messageBeyondTheLimitIsCorrupt() {
    SegmentAssembler small = new SegmentAssembler(100_000);
    SegmentSender sender =
        new SegmentSender(CompressedMessage.of(new byte[200_000]), TransferPosition.NONE);
    assertThat(
        small.add(sender.next(SegmentSender.SEGMENT_BYTES)),
        is(instanceOf(SegmentOutcome.Corrupt.class)));
  }
}
