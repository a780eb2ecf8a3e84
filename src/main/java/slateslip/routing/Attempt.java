package slateslip.routing;

import slateslip.routing.placement.Backend;
import slateslip.routing.placement.Placement;
import slateslip.routing.quota.QuotaCharge;

/**
 * One attempt to serve a request at one backend. It updates the load and the engine model of the
 * backend.
 */
final class Attempt {
  private final Placement.Choice choice;
  private final QuotaCharge charge;
  private final long sentMicros;
  private boolean started;
  private boolean ended;
  private boolean cancelled;
  private boolean cancelledAsUnresponsive;

  /**
   * Creates an attempt that is sent now.
   *
   * @param charge units that are charged to the tenant's quota if a backend runs the attempt
   */
  Attempt(Placement.Choice choice, QuotaCharge charge, long sentMicros) {
    this.choice = choice;
    this.charge = charge;
    this.sentMicros = sentMicros;
    choice.backend().sent();
  }

  Backend backend() {
    return choice.backend();
  }

  long sentMicros() {
    return sentMicros;
  }

  QuotaCharge charge() {
    return charge;
  }

  /**
   * Returns the expected time from the sending of the attempt to its first event, in microseconds;
   * 0 if not known.
   */
  long expectedFirstEventMicros() {
    return choice.expectedFirstEventMicros();
  }

  /** Returns whether the response has begun. */
  boolean started() {
    return started;
  }

  boolean ended() {
    return ended;
  }

  /** Returns whether the attempt has neither ended nor been cancelled. */
  boolean active() {
    return !ended && !cancelled;
  }

  /** Returns whether the attempt was cancelled because its backend was unresponsive. */
  boolean cancelledAsUnresponsive() {
    return cancelledAsUnresponsive;
  }

  /**
   * Marks the attempt as cancelled for a reason that does not count as a failure of the backend.
   */
  void cancel() {
    cancelled = true;
  }

  /**
   * Marks the attempt as cancelled because its backend is unresponsive, which counts as a failure
   * of the backend.
   */
  void cancelAsUnresponsive() {
    cancelled = true;
    cancelledAsUnresponsive = true;
  }

  /** Marks the start of the response; further calls have no effect. */
  void start(long nowMicros) {
    if (started) {
      return;
    }
    started = true;
    charge.commit(nowMicros);
    backend().stopAwaiting();
    backend().healthMonitor().activity(nowMicros);
    if (choice.newTokens() > 0) {
      backend()
          .engine()
          .started(nowMicros, nowMicros - sentMicros, choice, !backend().hasAwaitingAttempts());
    }
  }

  /** Marks the attempt as ended and releases its share of the backend's load. */
  void end(long nowMicros) {
    ended = true;
    if (!started) {
      backend().stopAwaiting();
      if (choice.newTokens() > 0) {
        backend()
            .engine()
            .endedBeforeFirstEvent(
                choice.prefillMicros(), !backend().hasAwaitingAttempts(), nowMicros);
      }
    }
    backend().ended();
  }
}
