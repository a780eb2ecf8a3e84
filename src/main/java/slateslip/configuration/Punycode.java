package slateslip.configuration;

import java.util.Optional;

/** Decodes internationalized labels of host names from their ASCII form (RFC 3492). */
final class Punycode {
  private static final char DELIMITER = '-';
  private static final int BASE = 36;
  private static final int MIN_THRESHOLD = 1;
  private static final int MAX_THRESHOLD = 26;
  private static final int SKEW = 38;
  private static final int DAMPING = 700;
  private static final int INITIAL_BIAS = 72;
  private static final int INITIAL_CODE_POINT = 0x80;

  /** Maximum length of a label of a host name (RFC 1035). */
  private static final int MAX_LABEL_LENGTH = 63;

  private final String encoded;
  private int position;

  private Punycode(String encoded, int position) {
    this.encoded = encoded;
    this.position = position;
  }

  /**
   * Decodes a label that is given without its prefix {@code xn--}. Returns an empty result if the
   * label is not valid Punycode.
   */
  static Optional<String> decode(String label) {
    if (label.isEmpty() || label.length() > MAX_LABEL_LENGTH) {
      return Optional.empty();
    }
    int delimiter = label.lastIndexOf(DELIMITER);
    StringBuilder text = new StringBuilder(label.substring(0, Math.max(0, delimiter)));
    return new Punycode(label, delimiter + 1).insertInto(text)
        ? Optional.of(text.toString())
        : Optional.empty();
  }

  private boolean insertInto(StringBuilder text) {
    long state = 0;
    long codePoint = INITIAL_CODE_POINT;
    int bias = INITIAL_BIAS;
    while (position < encoded.length()) {
      long delta = nextDelta(bias);
      if (delta < 0) {
        return false;
      }
      int points = text.codePointCount(0, text.length()) + 1;
      bias = adapt(delta, points, state == 0 && codePoint == INITIAL_CODE_POINT);
      state += delta;
      codePoint += state / points;
      if (codePoint > Character.MAX_CODE_POINT) {
        return false;
      }
      int index = (int) (state % points);
      text.insert(text.offsetByCodePoints(0, index), Character.toString((int) codePoint));
      state = index + 1L;
    }
    return true;
  }

  /** Reads the next variable-length integer. Returns -1 if the digits are not a valid integer. */
  private long nextDelta(int bias) {
    long delta = 0;
    long weight = 1;
    for (int offset = BASE; position < encoded.length(); offset += BASE) {
      int digit = digit(encoded.charAt(position++));
      delta += digit * weight;
      if (digit < 0 || delta > Integer.MAX_VALUE) {
        return -1;
      }
      int threshold = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, offset - bias));
      if (digit < threshold) {
        return delta;
      }
      weight *= BASE - threshold;
    }
    return -1;
  }

  /**
   * Returns the value of a digit: 0 to 25 for letters, 26 to 35 for decimal digits, -1 for any
   * other character.
   */
  private static int digit(char character) {
    int value = character < INITIAL_CODE_POINT ? Character.digit(character, BASE) : -1;
    if (value < 0) {
      return -1;
    }
    return value < 10 ? value + 26 : value - 10;
  }

  private static int adapt(long delta, int points, boolean first) {
    long scaled = first ? delta / DAMPING : delta / 2;
    scaled += scaled / points;
    int steps = 0;
    while (scaled > (BASE - MIN_THRESHOLD) * MAX_THRESHOLD / 2) {
      scaled /= BASE - MIN_THRESHOLD;
      steps += BASE;
    }
    return steps + (int) ((BASE - MIN_THRESHOLD + 1) * scaled / (scaled + SKEW));
  }
}
