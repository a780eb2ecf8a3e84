package slateslip.controlplane.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.transfer.SegmentOutcome;

/** Tests the order and the continuation of long messages to one peer. */
final class PeerTransferQueueTest {
  private static final String PEER = "10.1.0.6";
  private static final int LONG_BYTES = 600_000;
  private static final byte[] SHORT_MESSAGE = {1, 2, 3};

  /** A steady clock that a test advances; nothing is scheduled. */
  private static final class FakeClock implements Scheduler {
    private long nowMicros = 1;

    @Override
    public long nowMicros() {
      return nowMicros;
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void scheduleAtFixedRate(long periodMicros, Runnable task) {
      throw new UnsupportedOperationException();
    }
  }

  private final FakeClock clock = new FakeClock();
  private final List<ControlPeerMessage.Segment> segments = new ArrayList<>();
  private final List<byte[]> received = new ArrayList<>();
  private final PeerTransferReceiver receiver = new PeerTransferReceiver();
  private final PeerTransferQueue queue =
      new PeerTransferQueue(clock, new SharedCompression(), segments::add, received::add, () -> {});

  @BeforeEach
  void connect() {
    queue.connected(true);
  }

  private static byte[] longMessage(int seed) {
    byte[] message = new byte[LONG_BYTES];
    new Random(seed).nextBytes(message);
    return message;
  }

  /** Delivers up to a number of segments and their acknowledgements; returns the number. */
  private int deliver(int count) {
    int delivered = 0;
    while (delivered < count && !segments.isEmpty()) {
      SegmentOutcome outcome = receiver.add(PEER, segments.remove(0));
      if (outcome instanceof SegmentOutcome.Complete complete) {
        received.add(complete.message());
      }
      outcome.reached().ifPresent(queue::acknowledged);
      delivered++;
    }
    return delivered;
  }

  @Test
  void messagesArriveInOrder() {
    byte[] first = longMessage(1);
    queue.send(first, PeerTransferQueue.Order.FOLLOWS);
    queue.send(SHORT_MESSAGE, PeerTransferQueue.Order.FOLLOWS);
    deliver(Integer.MAX_VALUE);
    assertThat(received, contains(first, SHORT_MESSAGE));
    assertThat(queue.holdsReplaceable(), is(false));
  }

  @Test
  void transferContinuesOnNextConnection() {
    byte[] message = longMessage(2);
    queue.send(message, PeerTransferQueue.Order.FOLLOWS);
    deliver(10);
    segments.clear();
    queue.disconnected();
    queue.connected(true);
    int total = LONG_BYTES / PeerTransferQueue.MAX_WHOLE_BYTES + 1;
    assertThat(deliver(Integer.MAX_VALUE), is(total - 10));
    assertThat(received, contains(equalTo(message)));
  }

  /** Guards against a state transfer that begins anew whenever the primary repeats it. */
  @Test
  void repeatedMessageContinuesTransfer() {
    byte[] message = longMessage(3);
    queue.send(message, PeerTransferQueue.Order.REPLACES);
    int delivered = deliver(10);
    queue.send(message.clone(), PeerTransferQueue.Order.REPLACES);
    delivered += deliver(Integer.MAX_VALUE);
    assertThat(delivered, is(LONG_BYTES / PeerTransferQueue.MAX_WHOLE_BYTES + 1));
    assertThat(received, contains(equalTo(message)));
  }

  @Test
  void newerStateReplacesEarlierMessages() {
    queue.send(longMessage(4), PeerTransferQueue.Order.FOLLOWS);
    queue.send(longMessage(5), PeerTransferQueue.Order.FOLLOWS);
    byte[] newest = longMessage(6);
    queue.send(newest, PeerTransferQueue.Order.REPLACES);
    deliver(Integer.MAX_VALUE);
    assertThat(received, contains(equalTo(newest)));
  }

  /** Guards against an operator's request that is lost because the primary sends its state. */
  @Test
  void newerStateDoesNotReplaceIndependentMessage() {
    byte[] independent = longMessage(11);
    queue.send(independent, PeerTransferQueue.Order.INDEPENDENT);
    assertThat(queue.holdsReplaceable(), is(false));
    queue.send(longMessage(12), PeerTransferQueue.Order.FOLLOWS);
    queue.send(SHORT_MESSAGE, PeerTransferQueue.Order.REPLACES);
    deliver(Integer.MAX_VALUE);
    assertThat(received, contains(independent, SHORT_MESSAGE));
  }

  /** Guards against a transfer that stops because acknowledgements were lost. */
  @Test
  void bytesWithoutAcknowledgementAreSentAgain() {
    byte[] message = longMessage(7);
    queue.send(message, PeerTransferQueue.Order.FOLLOWS);
    segments.forEach(segment -> receiver.add(PEER, segment));
    segments.clear();
    queue.retransmitIfDue();
    assertThat(segments, is(empty()));
    clock.nowMicros += 1_000_000;
    queue.retransmitIfDue();
    deliver(Integer.MAX_VALUE);
    assertThat(received, contains(equalTo(message)));
  }

  @Test
  void restartedPeerReceivesWholeMessage() {
    byte[] message = longMessage(8);
    queue.send(message, PeerTransferQueue.Order.FOLLOWS);
    deliver(10);
    segments.clear();
    receiver.remove(PEER);
    queue.connected(true);
    deliver(Integer.MAX_VALUE);
    assertThat(received, contains(equalTo(message)));
  }

  @Test
  void messagesToPeerOfEarlierVersionAreLostWithItsConnection() {
    queue.send(longMessage(9), PeerTransferQueue.Order.FOLLOWS);
    queue.disconnected();
    queue.connected(false);
    assertThat(queue.holdsReplaceable(), is(false));
    assertThat(queue.isUsable(), is(false));
  }

  @Test
  void acknowledgementOfOtherTransferChangesNothing() {
    queue.send(longMessage(10), PeerTransferQueue.Order.FOLLOWS);
    queue.acknowledged(new TransferPosition(1, LONG_BYTES));
    assertThat(queue.holdsReplaceable(), is(true));
  }
}
