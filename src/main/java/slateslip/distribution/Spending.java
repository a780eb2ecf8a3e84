package slateslip.distribution;

import java.util.function.LongToDoubleFunction;

/**
 * Describes what a data plane has spent of a tenant's quota, and how much of this spending still
 * counts after each eighth of a window.
 *
 * @param now spending that counts now, as a fraction of the units that the quota permits in a
 *     window
 * @param remainingParts one byte for each eighth of a window, starting with the lowest byte for the
 *     first eighth: the part of {@code now} that still counts after that eighth, in 255ths, rounded
 *     up
 */
public record Spending(double now, long remainingParts) {
  /** No spending. */
  public static final Spending NONE = constant(0);

  private static final int STEPS = 8;
  private static final int BITS_PER_STEP = 8;
  private static final int MAX_PART = 255;

  /** Creates spending that counts in full until the end of the window. */
  public static Spending constant(double fraction) {
    return new Spending(fraction, -1L);
  }

  /**
   * Creates spending that leaves the window over time.
   *
   * @param now spending that counts now, as a fraction of the units that the quota permits in a
   *     window
   * @param windowMicros length of the window in microseconds
   * @param fractionAfter returns how much of {@code now} still counts after a time in microseconds
   */
  public static Spending of(double now, long windowMicros, LongToDoubleFunction fractionAfter) {
    long parts = 0;
    for (int step = 1; step <= STEPS && now > 0; step++) {
      double part = fractionAfter.applyAsDouble(step * windowMicros / STEPS) / now;
      long rounded = Math.min(MAX_PART, (long) Math.ceil(part * MAX_PART));
      parts |= rounded << (BITS_PER_STEP * (step - 1));
    }
    return new Spending(now, parts);
  }

  /** Returns the largest fraction that can still count after this time has passed. */
  public double maxRemaining(long elapsedMicros, long windowMicros) {
    return now * part(elapsedMicros * STEPS / windowMicros) / MAX_PART;
  }

  /**
   * Returns the smallest fraction that can still count after this time has passed, provided that no
   * spent units are returned.
   */
  public double minRemaining(long elapsedMicros, long windowMicros) {
    long step = elapsedMicros * STEPS / windowMicros + 1;
    return step > STEPS ? 0 : now * Math.max(0, part(step) - 1) / MAX_PART;
  }

  private long part(long step) {
    if (step < 1) {
      return MAX_PART;
    }
    int byteIndex = (int) Math.min(STEPS, step) - 1;
    return remainingParts >>> (BITS_PER_STEP * byteIndex) & MAX_PART;
  }
}
