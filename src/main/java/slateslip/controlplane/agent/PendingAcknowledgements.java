package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Answers that wait for deliveries, each for a bounded time. Confined to the event loop. */
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
   * @param condition whether it holds now; asked at each {@link #recheck}
   * @param onComplete called once with whether the condition held in time
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

  /** Something was delivered, or somebody has gone who was waited for. */
  void recheck() {
    List<PendingAcknowledgement> satisfied = new ArrayList<>();
    for (PendingAcknowledgement acknowledgement : pending) {
      if (acknowledgement.condition.getAsBoolean()) {
        satisfied.add(acknowledgement);
      }
    }
    satisfied.forEach(acknowledgement -> complete(acknowledgement, true));
  }

  private void complete(PendingAcknowledgement acknowledgement, boolean condition) {
    if (pending.remove(acknowledgement)) {
      acknowledgement.onComplete.accept(condition);
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
