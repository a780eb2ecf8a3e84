package slateslip.coordination;

/**
 * Identity of a core node. A machine that has lost the contents of its disk gets a new identity and
 * is another node.
 *
 * @param address the address at which the node is reached
 * @param diskId a random number that the node draws when it first writes to an empty disk, or 0 for
 *     a node of the initial view
 */
public record NodeId(NodeAddress address, long diskId) implements Comparable<NodeId> {
  /**
   * Disk identifier of the nodes of the initial view, which started the system for the first time.
   */
  public static final long INITIAL_DISK_ID = 0;

  /** Identity that stands for the absence of a node. */
  public static final NodeId NONE = new NodeId(new NodeAddress(0), INITIAL_DISK_ID);

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
