package slateslip.protocol.coordination;

import slateslip.coordination.NodeId;
import slateslip.coordination.PeerMessage;

/**
 * A message with its sender.
 *
 * @param from identity of the sending node
 * @param message it
 */
public record PeerFrame(NodeId from, PeerMessage message) {}
