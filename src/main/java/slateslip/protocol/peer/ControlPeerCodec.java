package slateslip.protocol.peer;

import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.peer.generated.MessageHeaderDecoder;

/**
 * Writes and reads the messages among control agents: an SBE header and body, without the frame's
 * length. An error of the peer is a value, never thrown. Not safe for several threads.
 */
public final class ControlPeerCodec {
  /** Schema id that tells these messages from others on the same connection. */
  public static final int SCHEMA_ID = MessageHeaderDecoder.SCHEMA_ID;

  private final ControlPeerEncoder encoder = new ControlPeerEncoder();
  private final ControlPeerDecoder decoder = new ControlPeerDecoder();

  /** Bytes of a message. */
  public byte[] encode(ControlPeerMessage message) {
    return encoder.encode(message);
  }

  /** Reads a message. */
  public Decoded<ControlPeerMessage> decode(byte[] message) {
    return MessageReader.read(message, SCHEMA_ID, decoder::read);
  }
}
