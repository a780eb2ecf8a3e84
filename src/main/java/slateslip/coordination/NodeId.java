package slateslip.coordination;

/**
 * Identity of a core node. A machine that lost its disk is another node.
 *
 * @param address where it is reached
 * @param diskId drawn when an empty disk is first written; 0 for a founder
 */
public record NodeId(NodeAddress address, long diskId) implements Comparable<NodeId> {
  /** Disk id of a node that founded the system. */
  public static final long FOUNDER_DISK = 0;

  /** No node. */
  public static final NodeId NONE = new NodeId(new NodeAddress(0), FOUNDER_DISK);

  @Override
  public int compareTo(NodeId other) {
    int byAddress = address.compareTo(other.address);
    return byAddress != 0 ? byAddress : Long.compareUnsigned(diskId, other.diskId);
  }

  @Override
  public String toString() {
    return address + "/" + Long.toHexString(diskId);
  }
}
