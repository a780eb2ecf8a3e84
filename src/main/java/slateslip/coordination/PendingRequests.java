package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Client requests that are pending at the primary: a queue of commands, of which one at a time is
 * replicated, and requests to confirm that the state is current.
 */
final class PendingRequests {
  private record QueuedCommand(long clientToken, byte[] command, long arrivedAtMicros) {}

  /** A request whose response waits until a majority has confirmed a heartbeat round. */
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
   * Queues a request to confirm that the state is current; the response waits for a heartbeat round
   * that begins after this call.
   *
   * @param lastRound the number of the newest heartbeat round so far
   */
  void confirm(long clientToken, long lastRound) {
    awaitConfirmation(clientToken, Optional.empty(), lastRound);
  }

  private void awaitConfirmation(long clientToken, Optional<byte[]> response, long lastRound) {
    pendingConfirmations.addLast(
        new PendingConfirmation(clientToken, response, lastRound + 1, context.nowMicros));
    heartbeatRoundRequested = true;
  }

  /** Returns whether a heartbeat round must begin immediately, and clears the request. */
  boolean pollHeartbeatRoundRequest() {
    boolean result = heartbeatRoundRequested;
    heartbeatRoundRequested = false;
    return result;
  }

  /**
   * Prepares queued commands until a command produces a record. The response to a command without a
   * record waits for the confirmation that the state was current.
   *
   * @param lastRound the number of the newest heartbeat round so far
   * @return the record to replicate, or empty if no queued command produces a record
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

  /** Responds to the command in flight if its record is committed. */
  void committed() {
    if (inFlightCommand != null && context.store.appliedSequence() >= inFlightSequence) {
      context.outbox.result(
          new ClientResult.Committed(inFlightCommand.clientToken(), inFlightSequence));
      inFlightCommand = null;
    }
  }

  /** Responds to each pending confirmation whose heartbeat round a majority has confirmed. */
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

  /**
   * Responds with {@link ClientResult.Unavailable} to every request that has exceeded the request
   * timeout.
   */
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

  /**
   * Responds to all pending requests because this node is no longer the primary. The result of the
   * command in flight is unknown; all other requests had no effect.
   */
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
