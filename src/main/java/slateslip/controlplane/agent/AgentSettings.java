package slateslip.controlplane.agent;

import java.util.List;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.ReplicaSettings;

/**
 * The settings of the process that a control agent uses.
 *
 * @param node name of the node that the agent runs on
 * @param address IPv4 address of the agent's machine
 * @param seeds IPv4 addresses of the seed agents, to which the agent always connects
 * @param bootstrap whether the complete system starts for the first time
 * @param location zone and region of the agent's machine
 * @param tolerance losses that the replicated state must survive
 * @param heartbeatMillis interval between two heartbeats of a backend, in milliseconds
 * @param keyLeaseRequired whether data planes accept API keys only while they hold a lease, which
 *     requires a confirmed configuration version
 * @param quotaWindowMicros length of the window in which quotas are counted, in microseconds
 * @param acknowledgeTimeoutMillis maximum time until a valid configuration change is acknowledged,
 *     in milliseconds
 */
public record AgentSettings(
    String node,
    String address,
    List<String> seeds,
    boolean bootstrap,
    NodeLocation location,
    FailureTolerance tolerance,
    long heartbeatMillis,
    boolean keyLeaseRequired,
    long quotaWindowMicros,
    long acknowledgeTimeoutMillis) {
  /**
   * Returns the settings of the agent's replica.
   *
   * @param snapshotThresholdBytes number of bytes written since the last snapshot above which the
   *     next write is a snapshot
   */
  ReplicaSettings replicaSettings(long snapshotThresholdBytes) {
    return new ReplicaSettings(
        NodeAddress.parse(address),
        location,
        seeds.stream().map(NodeAddress::parse).toList(),
        bootstrap,
        tolerance,
        snapshotThresholdBytes);
  }
}
