package slateslip.protocol.exchange;

import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.exchange.generated.MessageHeaderDecoder;

/**
 * Writes and reads the messages among control agents: an SBE header and body, without the frame's
 * length. An error of the peer is a value, never thrown. Not safe for several threads.
 */
public final class ExchangeCodec {
  /** Schema id that tells these messages from others on the same connection. */
  public static final int SCHEMA_ID = MessageHeaderDecoder.SCHEMA_ID;

  private final ExchangeEncoder encoder = new ExchangeEncoder();
  private final ExchangeDecoder decoder = new ExchangeDecoder();

  /** Bytes of a message. */
  public byte[] encode(ExchangeMessage message) {
    return encoder.encode(message);
  }

  /** Reads a message. */
  public Decoded<ExchangeMessage> decode(byte[] message) {
    return MessageReader.read(message, SCHEMA_ID, decoder::read);
  }
}
