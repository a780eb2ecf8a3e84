package slateslip.protocol.coordination;

import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaMessage;

/**
 * A message between replicas, with the identity of its sender.
 *
 * @param from identity of the sending node
 * @param message message that the node has sent
 */
public record ReplicaFrame(NodeId from, ReplicaMessage message) {}
