package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/** Clients' calls at the primary: commands one after the other, and confirmations. */
final class PendingRequests {
  private record QueuedCommand(long clientToken, byte[] command, long arrivedAt) {}

  /** Waits for a clean majority of a round. */
  private record PendingConfirmation(
      long clientToken, Optional<byte[]> answer, long round, long arrivedAt) {}

  private final ReplicaContext context;
  private final Deque<QueuedCommand> waiting = new ArrayDeque<>();
  private final Deque<PendingConfirmation> questions = new ArrayDeque<>();
  private QueuedCommand current;
  private long currentSequence;
  private boolean roundWanted;

  PendingRequests(ReplicaContext context) {
    this.context = context;
  }

  void propose(long clientToken, byte[] command) {
    waiting.addLast(new QueuedCommand(clientToken, command, context.now));
  }

  /**
   * Waits for a round that begins after the call.
   *
   * @param lastRound newest round so far
   */
  void confirm(long clientToken, long lastRound) {
    ask(clientToken, Optional.empty(), lastRound);
  }

  private void ask(long clientToken, Optional<byte[]> answer, long lastRound) {
    questions.addLast(new PendingConfirmation(clientToken, answer, lastRound + 1, context.now));
    roundWanted = true;
  }

  /** Whether a round is to begin at once. */
  boolean takeRoundWanted() {
    boolean result = roundWanted;
    roundWanted = false;
    return result;
  }

  /**
   * Prepares waiting commands up to the next one that makes a record.
   *
   * @param lastRound newest round so far
   * @return the record, if there is one
   */
  Optional<byte[]> nextRecord(long lastRound) {
    while (!waiting.isEmpty()) {
      QueuedCommand command = waiting.removeFirst();
      PreparedCommand preparation = context.store.state().prepare(command.command());
      if (preparation instanceof PreparedCommand.Change change) {
        current = command;
        currentSequence = context.store.lastSequence() + 1;
        return Optional.of(change.record());
      }
      byte[] answer = ((PreparedCommand.Response) preparation).answer();
      ask(command.clientToken(), Optional.of(answer), lastRound);
    }
    return Optional.empty();
  }

  /** Answers the command whose record is committed. */
  void committed() {
    if (current != null && context.store.appliedSequence() >= currentSequence) {
      context.outbox.result(new ClientResult.Committed(current.clientToken(), currentSequence));
      current = null;
    }
  }

  /** Answers what a clean majority of that round allows to be answered. */
  void confirmed(PeerTable peers) {
    while (!questions.isEmpty() && peers.cleanMajority(questions.peekFirst().round())) {
      PendingConfirmation question = questions.removeFirst();
      long token = question.clientToken();
      context.outbox.result(
          question
              .answer()
              .<ClientResult>map(answer -> new ClientResult.Responded(token, answer))
              .orElseGet(() -> new ClientResult.Confirmed(token)));
    }
  }

  boolean hasQuestions() {
    return !questions.isEmpty();
  }

  /** Answers what has waited too long. */
  void expire() {
    long oldest = context.now - ReplicationTimeouts.CALL_BOUND;
    if (current != null && current.arrivedAt() < oldest) {
      unavailable(current.clientToken());
      current = null;
    }
    Iterator<PendingConfirmation> iterator = questions.iterator();
    while (iterator.hasNext()) {
      PendingConfirmation question = iterator.next();
      if (question.arrivedAt() < oldest) {
        iterator.remove();
        unavailable(question.clientToken());
      }
    }
    while (!waiting.isEmpty() && waiting.peekFirst().arrivedAt() < oldest) {
      unavailable(waiting.removeFirst().clientToken());
    }
  }

  /** The node is the primary no longer. */
  void stepDown(Optional<NodeAddress> primary) {
    if (current != null) {
      unavailable(current.clientToken());
      current = null;
    }
    questions.forEach(question -> notPrimary(question.clientToken(), primary));
    questions.clear();
    waiting.forEach(command -> notPrimary(command.clientToken(), primary));
    waiting.clear();
  }

  void notPrimary(long clientToken, Optional<NodeAddress> primary) {
    context.outbox.result(new ClientResult.NotPrimary(clientToken, primary));
  }

  private void unavailable(long clientToken) {
    context.outbox.result(new ClientResult.Unavailable(clientToken));
  }
}
