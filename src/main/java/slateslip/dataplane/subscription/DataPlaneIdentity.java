package slateslip.dataplane.subscription;

/**
 * Who subscribes.
 *
 * @param node name of its machine
 * @param incarnation drawn at random at the start of the process
 * @param zone its zone
 * @param address its IPv4 address
 */
public record DataPlaneIdentity(String node, long incarnation, String zone, String address) {
  private static final int RANK_SHIFT = 32;
  private static final long HASH_MASK = 0xffff_ffffL;
  private static final int HASH_FACTOR = 0x9e37_79b1;

  /**
   * Preference among control agents; lower is better. Addresses that share more leading parts with
   * this one's are taken to be nearer, as deployments number their zones; among equals each data
   * plane has an order of its own.
   */
  long rank(String agent) {
    long distance = 4L - commonParts(agent);
    long rankOrder = ((long) (agent.hashCode() * 31 + node.hashCode()) * HASH_FACTOR) & HASH_MASK;
    return (distance << RANK_SHIFT) + rankOrder;
  }

  private int commonParts(String agent) {
    String[] mine = address.split("\\.", -1);
    String[] theirs = agent.split("\\.", -1);
    int common = 0;
    while (common < Math.min(mine.length, theirs.length) && mine[common].equals(theirs[common])) {
      common++;
    }
    return common;
  }
}
