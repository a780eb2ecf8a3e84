package slateslip.dataplane.subscription;

/**
 * Identity of a data plane that subscribes to control agents.
 *
 * @param node name of the node
 * @param incarnation random id that is drawn at each start of the process
 * @param zone zone of the node
 * @param address IPv4 address of the node
 */
public record DataPlaneIdentity(String node, long incarnation, String zone, String address) {
  private static final int RANK_SHIFT = 32;
  private static final long HASH_MASK = 0xffff_ffffL;
  private static final int HASH_FACTOR = 0x9e37_79b1;

  /**
   * Returns the preference for a control agent; a lower rank is preferred. Addresses with more
   * leading parts in common with this node's address are assumed to be nearer, because deployments
   * number addresses by zone. Agents at equal distance are ordered differently by each data plane.
   *
   * @param agent IPv4 address of the control agent
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
