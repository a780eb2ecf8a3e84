package slateslip.controlplane;

/** Steady time of this process. */
final class MonotonicClock {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long FIRST_MICROS = 1_000_000;

  private final long startNanos = System.nanoTime();

  /** Microseconds since the start of the process, and a second; never below 1. */
  long micros() {
    return FIRST_MICROS + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }
}
