package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ReplicaMessage;

/** A sequence of crashes, each of which occurs when a node sends a message of a given type. */
final class ArmedCrashes {
  private static final int MAX_CRASHES = 3;
  private static final int MAX_MESSAGES_UNTIL_CRASH = 4;
  private static final List<Class<? extends ReplicaMessage>> MESSAGE_TYPES =
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
  private final Deque<Class<? extends ReplicaMessage>> messageTypes = new ArrayDeque<>();
  private int messagesUntilCrash;
  private long downMicros;

  ArmedCrashes(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Replaces the sequence of crashes by a new sequence, which is derived from the target number of
   * the fault.
   */
  void arm(Fault fault) {
    SplittableRandom choice = new SplittableRandom(fault.target());
    messageTypes.clear();
    int count = 1 + choice.nextInt(MAX_CRASHES);
    for (int i = 0; i < count; i++) {
      messageTypes.addLast(MESSAGE_TYPES.get(choice.nextInt(MESSAGE_TYPES.size())));
    }
    downMicros = fault.durationMicros();
    drawMessageCount();
  }

  private void drawMessageCount() {
    messagesUntilCrash = 1 + random.nextInt(MAX_MESSAGES_UNTIL_CRASH);
  }

  /** Returns whether the sender of this message must crash now, and advances the sequence if so. */
  boolean crashesSender(ReplicaMessage message) {
    if (messageTypes.isEmpty() || !messageTypes.peekFirst().isInstance(message)) {
      return false;
    }
    messagesUntilCrash--;
    if (messagesUntilCrash > 0) {
      return false;
    }
    messageTypes.removeFirst();
    drawMessageCount();
    return true;
  }

  /** Returns the time in microseconds for which a crashed machine stays down. */
  long downMicros() {
    return downMicros;
  }
}
