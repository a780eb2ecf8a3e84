package slateslip.coordination;

import java.util.List;

/**
 * Settings of a replica.
 *
 * @param address the address of this node
 * @param location the zone and the region of this node
 * @param seeds the addresses of the nodes that this node contacts first
 * @param bootstrap whether the whole system starts for the first time
 * @param tolerance the losses that the control state must survive
 * @param snapshotThresholdBytes the number of bytes written since the last snapshot above which the
 *     next write is a snapshot
 */
public record ReplicaSettings(
    NodeAddress address,
    NodeLocation location,
    List<NodeAddress> seeds,
    boolean bootstrap,
    FailureTolerance tolerance,
    long snapshotThresholdBytes) {
  /** Copies the list of seeds, so that the settings are immutable. */
  public ReplicaSettings {
    seeds = List.copyOf(seeds);
  }
}
