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
  private final Set<PendingAcknowledgement> waits = new LinkedHashSet<>();

  PendingAcknowledgements(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Waits for a condition.
   *
   * @param delivered whether it holds now; asked at each {@link #check}
   * @param then is told once whether it came to hold in time
   */
  void await(BooleanSupplier delivered, long boundMillis, Consumer<Boolean> then) {
    if (delivered.getAsBoolean()) {
      then.accept(true);
      return;
    }
    PendingAcknowledgement wait = new PendingAcknowledgement(delivered, then);
    waits.add(wait);
    scheduler.schedule(boundMillis * MICROS_PER_MILLI, () -> end(wait, false));
  }

  /** Something was delivered, or somebody has gone who was waited for. */
  void check() {
    List<PendingAcknowledgement> ended = new ArrayList<>();
    for (PendingAcknowledgement wait : waits) {
      if (wait.delivered.getAsBoolean()) {
        ended.add(wait);
      }
    }
    ended.forEach(wait -> end(wait, true));
  }

  private void end(PendingAcknowledgement wait, boolean delivered) {
    if (waits.remove(wait)) {
      wait.then.accept(delivered);
    }
  }

  private static final class PendingAcknowledgement {
    private final BooleanSupplier delivered;
    private final Consumer<Boolean> then;

    private PendingAcknowledgement(BooleanSupplier delivered, Consumer<Boolean> then) {
      this.delivered = delivered;
      this.then = then;
    }
  }
}
