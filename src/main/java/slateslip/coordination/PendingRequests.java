package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/** Clients' calls at the primary: commands one after the other, and confirmations. */
final class PendingRequests {
  private record QueuedCommand(long clientToken, byte[] command, long arrivedAtMicros) {}

  /** Waits for a majority of a round. */
  private record PendingConfirmation(
      long clientToken, Optional<byte[]> response, long round, long arrivedAtMicros) {}

  private final ReplicaContext context;
  private final Deque<QueuedCommand> queuedCommands = new ArrayDeque<>();
  private final Deque<PendingConfirmation> pendingConfirmations = new ArrayDeque<>();
  private QueuedCommand inFlightCommand;
  private long inFlightSequence;
  private boolean heartbeatRoundRequested;

  PendingRequests(ReplicaContext context) {
    this.context = context;
  }

  void propose(long clientToken, byte[] command) {
    queuedCommands.addLast(new QueuedCommand(clientToken, command, context.nowMicros));
  }

  /**
   * Waits for a round that begins after the call.
   *
   * @param lastRound newest round so far
   */
  void confirm(long clientToken, long lastRound) {
    awaitConfirmation(clientToken, Optional.empty(), lastRound);
  }

  private void awaitConfirmation(long clientToken, Optional<byte[]> response, long lastRound) {
    pendingConfirmations.addLast(
        new PendingConfirmation(clientToken, response, lastRound + 1, context.nowMicros));
    heartbeatRoundRequested = true;
  }

  /** Whether a round is to begin at once. */
  boolean pollHeartbeatRoundRequest() {
    boolean result = heartbeatRoundRequested;
    heartbeatRoundRequested = false;
    return result;
  }

  /**
   * Prepares waiting commands up to the next one that makes a record.
   *
   * @param lastRound newest round so far
   * @return the record, if there is one
   */
  Optional<byte[]> nextRecord(long lastRound) {
    while (!queuedCommands.isEmpty()) {
      QueuedCommand command = queuedCommands.removeFirst();
      PreparedCommand preparation = context.store.state().prepare(command.command());
      if (preparation instanceof PreparedCommand.Change change) {
        inFlightCommand = command;
        inFlightSequence = context.store.lastSequence() + 1;
        return Optional.of(change.record());
      }
      byte[] response = ((PreparedCommand.Response) preparation).response();
      awaitConfirmation(command.clientToken(), Optional.of(response), lastRound);
    }
    return Optional.empty();
  }

  /** Answers the command whose record is committed. */
  void committed() {
    if (inFlightCommand != null && context.store.appliedSequence() >= inFlightSequence) {
      context.outbox.result(
          new ClientResult.Committed(inFlightCommand.clientToken(), inFlightSequence));
      inFlightCommand = null;
    }
  }

  /** Answers what a majority of that round allows to be answered. */
  void confirmed(PeerTable peers) {
    while (!pendingConfirmations.isEmpty()
        && peers.isConfirmedByMajority(pendingConfirmations.peekFirst().round())) {
      PendingConfirmation confirmation = pendingConfirmations.removeFirst();
      long token = confirmation.clientToken();
      context.outbox.result(
          confirmation
              .response()
              .<ClientResult>map(response -> new ClientResult.Responded(token, response))
              .orElseGet(() -> new ClientResult.Confirmed(token)));
    }
  }

  boolean hasPendingConfirmations() {
    return !pendingConfirmations.isEmpty();
  }

  /** Answers what has waited too long. */
  void expire() {
    long oldestMicros = context.nowMicros - ReplicationTimeouts.REQUEST_TIMEOUT_MICROS;
    if (inFlightCommand != null && inFlightCommand.arrivedAtMicros() < oldestMicros) {
      unavailable(inFlightCommand.clientToken());
      inFlightCommand = null;
    }
    Iterator<PendingConfirmation> iterator = pendingConfirmations.iterator();
    while (iterator.hasNext()) {
      PendingConfirmation confirmation = iterator.next();
      if (confirmation.arrivedAtMicros() < oldestMicros) {
        iterator.remove();
        unavailable(confirmation.clientToken());
      }
    }
    while (!queuedCommands.isEmpty()
        && queuedCommands.peekFirst().arrivedAtMicros() < oldestMicros) {
      unavailable(queuedCommands.removeFirst().clientToken());
    }
  }

  /** The node is the primary no longer. */
  void stepDown(Optional<NodeAddress> primary) {
    if (inFlightCommand != null) {
      unavailable(inFlightCommand.clientToken());
      inFlightCommand = null;
    }
    pendingConfirmations.forEach(confirmation -> notPrimary(confirmation.clientToken(), primary));
    pendingConfirmations.clear();
    queuedCommands.forEach(command -> notPrimary(command.clientToken(), primary));
    queuedCommands.clear();
  }

  void notPrimary(long clientToken, Optional<NodeAddress> primary) {
    context.outbox.result(new ClientResult.NotPrimary(clientToken, primary));
  }

  private void unavailable(long clientToken) {
    context.outbox.result(new ClientResult.Unavailable(clientToken));
  }
}
