package slateslip.coordination;

import java.util.List;

/**
 * Settings of a replica.
 *
 * @param address this node's
 * @param seeds addresses of nodes to ask first
 * @param bootstrap whether the whole system starts for the first time
 * @param faultTolerance nodes that may be lost at once
 * @param snapshotThresholdBytes bytes of records after which a snapshot is written instead
 */
public record ReplicaSettings(
    NodeAddress address,
    List<NodeAddress> seeds,
    boolean bootstrap,
    int faultTolerance,
    long snapshotThresholdBytes) {
  /** Copies the list. */
  public ReplicaSettings {
    seeds = List.copyOf(seeds);
  }
}
