package slateslip.protocol.coordination;

import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaMessage;

/**
 * A message with its sender.
 *
 * @param from identity of the sending node
 * @param message it
 */
public record ReplicaFrame(NodeId from, ReplicaMessage message) {}
