package slateslip.standin;

import java.util.concurrent.TimeUnit;

/** Spaces repeated attempts 50 milliseconds apart and ends them at a deadline. */
final class PollTimer {
  private static final long STEP_MILLIS = 50;

  private final long endNanos;
  private boolean first = true;

  PollTimer(long timeoutSeconds) {
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
  }

  /**
   * Waits for the interval between two attempts; the first call does not wait. Returns false if the
   * deadline has passed.
   */
  boolean awaitNext() throws InterruptedException {
    if (!first) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
    }
    first = false;
    return System.nanoTime() < endNanos;
  }
}
