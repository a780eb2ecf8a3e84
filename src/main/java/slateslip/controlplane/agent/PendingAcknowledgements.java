package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Holds acknowledgements that wait for deliveries, each for a bounded time. Confined to the event
 * loop.
 */
final class PendingAcknowledgements {
  private static final long MICROS_PER_MILLI = 1_000;

  private final Scheduler scheduler;
  private final Set<PendingAcknowledgement> pending = new LinkedHashSet<>();

  PendingAcknowledgements(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Waits for a condition.
   *
   * @param condition returns whether the condition holds; evaluated at once and at each {@link
   *     #recheck}
   * @param timeoutMillis how long to wait, in milliseconds
   * @param onComplete called once: with true when the condition holds, or with false after the
   *     timeout
   */
  void await(BooleanSupplier condition, long timeoutMillis, Consumer<Boolean> onComplete) {
    if (condition.getAsBoolean()) {
      onComplete.accept(true);
      return;
    }
    PendingAcknowledgement acknowledgement = new PendingAcknowledgement(condition, onComplete);
    pending.add(acknowledgement);
    scheduler.schedule(timeoutMillis * MICROS_PER_MILLI, () -> complete(acknowledgement, false));
  }

  /**
   * Waits for a condition as long as there is progress.
   *
   * @param condition returns whether the condition holds; evaluated at once and at each {@link
   *     #recheck}
   * @param progress returns a number that changes while there is progress
   * @param stallTimeoutMicros how long to wait without progress, in microseconds
   * @param deadlineMicros time of the scheduler's clock at which the wait ends in any case, but not
   *     before one stall timeout has passed, in microseconds
   * @param onComplete called once: with true when the condition holds, or with false after the wait
   */
  void awaitWithProgress(
      BooleanSupplier condition,
      LongSupplier progress,
      long stallTimeoutMicros,
      long deadlineMicros,
      Consumer<Boolean> onComplete) {
    if (condition.getAsBoolean()) {
      onComplete.accept(true);
      return;
    }
    PendingAcknowledgement acknowledgement = new PendingAcknowledgement(condition, onComplete);
    pending.add(acknowledgement);
    awaitStall(acknowledgement, progress, stallTimeoutMicros, deadlineMicros);
  }

  private void awaitStall(
      PendingAcknowledgement acknowledgement,
      LongSupplier progress,
      long stallTimeoutMicros,
      long deadlineMicros) {
    long before = progress.getAsLong();
    scheduler.schedule(
        stallTimeoutMicros,
        () -> {
          boolean stalled = progress.getAsLong() == before;
          boolean late = scheduler.nowMicros() >= deadlineMicros;
          if (stalled || late) {
            complete(acknowledgement, false);
          } else if (pending.contains(acknowledgement)) {
            awaitStall(acknowledgement, progress, stallTimeoutMicros, deadlineMicros);
          }
        });
  }

  /**
   * Evaluates all pending conditions again. Must be called after each delivery and after a peer or
   * data plane has disconnected.
   */
  void recheck() {
    List<PendingAcknowledgement> satisfied = new ArrayList<>();
    for (PendingAcknowledgement acknowledgement : pending) {
      if (acknowledgement.condition.getAsBoolean()) {
        satisfied.add(acknowledgement);
      }
    }
    satisfied.forEach(acknowledgement -> complete(acknowledgement, true));
  }

  private void complete(PendingAcknowledgement acknowledgement, boolean satisfied) {
    if (pending.remove(acknowledgement)) {
      acknowledgement.onComplete.accept(satisfied);
    }
  }

  private static final class PendingAcknowledgement {
    private final BooleanSupplier condition;
    private final Consumer<Boolean> onComplete;

    private PendingAcknowledgement(BooleanSupplier condition, Consumer<Boolean> onComplete) {
      this.condition = condition;
      this.onComplete = onComplete;
    }
  }
}
