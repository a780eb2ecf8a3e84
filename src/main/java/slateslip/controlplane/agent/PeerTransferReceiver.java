package slateslip.controlplane.agent;

import java.util.HashMap;
import java.util.Map;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.transfer.SegmentAssembler;
import slateslip.distribution.transfer.SegmentOutcome;
import slateslip.protocol.Framing;

/**
 * Assembles the long messages that peers send in segments. Parts outlive the connection on which
 * they arrived. Confined to the event loop.
 */
final class PeerTransferReceiver {
  private final Map<String, SegmentAssembler> assemblers = new HashMap<>();

  /**
   * Adds a segment.
   *
   * @param peer IPv4 address of the sender
   */
  SegmentOutcome add(String peer, ControlPeerMessage.Segment segment) {
    return assemblers
        .computeIfAbsent(peer, added -> new SegmentAssembler(Framing.MAX_MESSAGE_BYTES))
        .add(segment.part());
  }

  /** Drops the parts of messages of a peer that no longer exists. */
  void remove(String peer) {
    assemblers.remove(peer);
  }
}
