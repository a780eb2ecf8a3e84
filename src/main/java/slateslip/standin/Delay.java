package slateslip.standin;

import java.util.concurrent.TimeUnit;

/** Spaces repeated questions and ends them at a deadline. */
final class Delay {
  private static final long STEP_MILLIS = 50;

  private final long endNanos;
  private boolean first = true;

  Delay(long timeoutSeconds) {
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
  }

  /** Waits a moment, but not before the first question; false once the time is over. */
  boolean another() throws InterruptedException {
    if (!first) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
    }
    first = false;
    return System.nanoTime() < endNanos;
  }
}
