package slateslip.controlplane;

/** Provides the monotonic time of this process. */
final class MonotonicClock {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long OFFSET_MICROS = 1_000_000;

  private final long startNanos = System.nanoTime();

  /** Returns the microseconds since the creation of this clock plus one second; at least 1. */
  long micros() {
    return OFFSET_MICROS + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }
}
