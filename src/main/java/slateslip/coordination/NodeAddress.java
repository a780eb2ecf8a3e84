package slateslip.coordination;

/**
 * IPv4 address of a core machine.
 *
 * @param ipv4 the four bytes of the address in big-endian order
 */
public record NodeAddress(int ipv4) implements Comparable<NodeAddress> {
  private static final int PARTS = 4;
  private static final int BITS = 8;
  private static final int MASK = 0xff;

  /**
   * Parses an address in dotted-decimal notation.
   *
   * @throws IllegalArgumentException if the text is not a valid IPv4 address
   */
  public static NodeAddress parse(String dotted) {
    String[] parts = dotted.split("\\.", -1);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("not an IPv4 address: " + dotted);
    }
    int value = 0;
    for (String part : parts) {
      int number = Integer.parseInt(part);
      if (number < 0 || number > MASK) {
        throw new IllegalArgumentException("not an IPv4 address: " + dotted);
      }
      value = value << BITS | number;
    }
    return new NodeAddress(value);
  }

  @Override
  public int compareTo(NodeAddress other) {
    return Integer.compareUnsigned(ipv4, other.ipv4);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int shift = BITS * (PARTS - 1); shift >= 0; shift -= BITS) {
      text.append(ipv4 >>> shift & MASK);
      if (shift > 0) {
        text.append('.');
      }
    }
    return text.toString();
  }
}
