package slateslip.protocol.peer;

import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.peer.generated.MessageHeaderDecoder;

/**
 * Encodes and decodes the SBE messages between control agents, without the length field of the
 * frame. Malformed bytes from a peer yield {@link Decoded.Malformed}, never an exception. Not
 * thread-safe.
 */
public final class ControlPeerCodec {
  /**
   * Schema id in the message header. Distinguishes these messages from other messages on the same
   * connection.
   */
  public static final int SCHEMA_ID = MessageHeaderDecoder.SCHEMA_ID;

  private final ControlPeerEncoder encoder = new ControlPeerEncoder();
  private final ControlPeerDecoder decoder = new ControlPeerDecoder();

  /** Encodes a message, including the message header. */
  public byte[] encode(ControlPeerMessage message) {
    return encoder.encode(message);
  }

  /**
   * Decodes a message that occupies the whole array. Invalid bytes yield {@link Decoded.Malformed}.
   */
  public Decoded<ControlPeerMessage> decode(byte[] message) {
    return MessageReader.read(message, SCHEMA_ID, decoder::read);
  }
}
