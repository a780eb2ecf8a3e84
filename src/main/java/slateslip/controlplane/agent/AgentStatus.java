package slateslip.controlplane.agent;

import java.util.List;
import slateslip.coordination.PlacementState;
import slateslip.distribution.quota.QuotaAllocatorStatus;

/**
 * A snapshot of the state of a control agent, for status and metrics.
 *
 * @param node name of the agent's node
 * @param epoch newest decided epoch known to the agent
 * @param primary primary of the epoch
 * @param serving whether the agent is the primary and accepts changes
 * @param current whether the agent is in contact with the primary and reaches a majority of the
 *     witnesses
 * @param configurationVersion newest committed configuration version known to the agent; 0 if none
 * @param sessions number of backends in the session table
 * @param sessionsComplete whether the session table contains all live backends
 * @param sessionRevision revision of the session table
 * @param streams number of data plane streams, active or not
 * @param peers IPv4 addresses of the other control agents in reach
 * @param quotas status of the quota allocator; {@link QuotaAllocatorStatus#NONE} if this agent is
 *     not the allocator
 * @param placement whether the copies and witnesses of this primary's view survive each tolerated
 *     loss
 */
public record AgentStatus(
    String node,
    long epoch,
    String primary,
    boolean serving,
    boolean current,
    long configurationVersion,
    int sessions,
    boolean sessionsComplete,
    long sessionRevision,
    int streams,
    List<String> peers,
    QuotaAllocatorStatus quotas,
    PlacementState placement) {}
