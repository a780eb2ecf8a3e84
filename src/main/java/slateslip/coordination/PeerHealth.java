package slateslip.coordination;

/**
 * The health of a node as the primary has observed it.
 *
 * @param node the identity of the node
 * @param healthy whether the node responds and its disk works
 * @param installed whether the node has the state of the current term on disk, including the last
 *     record that existed when the term began
 * @param caughtUp whether the node has every record on disk, whether the record is committed or
 *     pending
 * @param unresponsiveMicros the time in microseconds since the primary sent the last heartbeat that
 *     the node acknowledged
 * @param healthyMicros the time in microseconds for which the node has been healthy without
 *     interruption
 * @param joinDelayMicros the time in microseconds for which the node must be healthy before it may
 *     join the view
 * @param location the zone and the region that the node has reported
 */
record PeerHealth(
    NodeId node,
    boolean healthy,
    boolean installed,
    boolean caughtUp,
    long unresponsiveMicros,
    long healthyMicros,
    long joinDelayMicros,
    NodeLocation location) {
  boolean eligible() {
    return healthy && healthyMicros >= joinDelayMicros;
  }
}
