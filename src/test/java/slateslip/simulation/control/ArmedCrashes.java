package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ReplicaMessage;

/** Crashes of senders at messages of given kinds, one after the other. */
final class ArmedCrashes {
  private static final int MAX_CRASHES = 3;
  private static final int MAX_MESSAGES = 4;
  private static final List<Class<? extends ReplicaMessage>> KINDS =
      List.of(
          ReplicaMessage.Prepare.class,
          ReplicaMessage.Promise.class,
          ReplicaMessage.Accept.class,
          ReplicaMessage.Accepted.class,
          ReplicaMessage.Accepted.class,
          ReplicaMessage.Decided.class,
          ReplicaMessage.Decided.class,
          ReplicaMessage.Install.class,
          ReplicaMessage.Append.class,
          ReplicaMessage.Synced.class);

  private final SplittableRandom random;
  private final Deque<Class<? extends ReplicaMessage>> kinds = new ArrayDeque<>();
  private int messagesLeft;
  private long micros;

  ArmedCrashes(SplittableRandom random) {
    this.random = random;
  }

  /** Arms a new chain; the fault's number chooses it. */
  void arm(Fault fault) {
    SplittableRandom choice = new SplittableRandom(fault.target());
    kinds.clear();
    int count = 1 + choice.nextInt(MAX_CRASHES);
    for (int i = 0; i < count; i++) {
      kinds.addLast(KINDS.get(choice.nextInt(KINDS.size())));
    }
    micros = fault.micros();
    drawMessages();
  }

  private void drawMessages() {
    messagesLeft = 1 + random.nextInt(MAX_MESSAGES);
  }

  /** Whether the sender of this message crashes now. */
  boolean strikes(ReplicaMessage message) {
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
