package slateslip.protocol.coordination;

import slateslip.coordination.NodeId;
import slateslip.coordination.PeerMessage;
import slateslip.protocol.Decoded;

/** Messages among core nodes as SBE, without the frame's length. */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /** Encodes a message; the header's schema id tells it from others on the same connection. */
  public static byte[] encode(NodeId from, PeerMessage message) {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Decodes a message that fills the array; bad input gives {@link Decoded.Malformed}. */
  public static Decoded<PeerFrame> decode(byte[] bytes) {
    throw new UnsupportedOperationException("not written yet");
  }
}
