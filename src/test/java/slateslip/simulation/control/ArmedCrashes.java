package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.PeerMessage;

/** Crashes of senders at messages of given kinds, one after the other. */
final class ArmedCrashes {
  private static final int MOST_CRASHES = 3;
  private static final int MOST_MESSAGES = 4;
  private static final List<Class<? extends PeerMessage>> KINDS =
      List.of(
          PeerMessage.Prepare.class,
          PeerMessage.Promise.class,
          PeerMessage.Accept.class,
          PeerMessage.Accepted.class,
          PeerMessage.Accepted.class,
          PeerMessage.Decided.class,
          PeerMessage.Decided.class,
          PeerMessage.Install.class,
          PeerMessage.Append.class,
          PeerMessage.Synced.class);

  private final SplittableRandom random;
  private final Deque<Class<? extends PeerMessage>> kinds = new ArrayDeque<>();
  private int messagesLeft;
  private long micros;

  ArmedCrashes(SplittableRandom random) {
    this.random = random;
  }

  /** Arms a new chain; the fault's number chooses it. */
  void arm(Fault fault) {
    SplittableRandom choice = new SplittableRandom(fault.target());
    kinds.clear();
    int count = 1 + choice.nextInt(MOST_CRASHES);
    for (int i = 0; i < count; i++) {
      kinds.addLast(KINDS.get(choice.nextInt(KINDS.size())));
    }
    micros = fault.micros();
    drawMessages();
  }

  private void drawMessages() {
    messagesLeft = 1 + random.nextInt(MOST_MESSAGES);
  }

  /** Whether the sender of this message crashes now. */
  boolean strikes(PeerMessage message) {
    if (kinds.isEmpty() || !kinds.peekFirst().isInstance(message)) {
      return false;
    }
    messagesLeft--;
    if (messagesLeft > 0) {
      return false;
    }
    kinds.removeFirst();
    drawMessages();
    return true;
  }

  /** How long a machine that crashed stays down. */
  long micros() {
    return micros;
  }
}
