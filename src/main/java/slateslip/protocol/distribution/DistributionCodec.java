package slateslip.protocol.distribution;

import io.netty.buffer.ByteBuf;
import org.agrona.DirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import slateslip.distribution.ToControl;
import slateslip.distribution.ToDataPlane;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.distribution.generated.MessageHeaderDecoder;

/**
 * Writes and reads the messages between data planes and control agents: an SBE header and body, without
 * the frame's length. An error of the peer is a value, never thrown. Not safe for several threads.
 */
public final class DistributionCodec {
  private final DistributionEncoder encoder = new DistributionEncoder();
  private final DistributionDecoder decoder = new DistributionDecoder();
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();

  /** Bytes of a message to a control agent. */
  public byte[] encode(ToControl message) {
    return encoder.encode(message);
  }

  /** Bytes of a message to a data plane. */
  public byte[] encode(ToDataPlane message) {
    return encoder.encode(message);
  }

  /** Reads a message to a control agent and consumes the buffer, without releasing it. */
  public Decoded<ToControl> decodeToControl(ByteBuf message) {
    return decodeToControl(Framing.bytes(message));
  }

  /** Reads a message to a control agent. */
  public Decoded<ToControl> decodeToControl(byte[] message) {
    return decode(message, decoder::readToControl);
  }

  /** Reads a message to a data plane and consumes the buffer, without releasing it. */
  public Decoded<ToDataPlane> decodeToDataPlane(ByteBuf message) {
    return decodeToDataPlane(Framing.bytes(message));
  }

  /** Reads a message to a data plane. */
  public Decoded<ToDataPlane> decodeToDataPlane(byte[] message) {
    return decode(message, decoder::readToDataPlane);
  }

  private <T> Decoded<T> decode(byte[] message, BodyReader<T> bodyReader) {
    if (message.length < MessageHeaderDecoder.ENCODED_LENGTH) {
      return new Decoded.Malformed<>("no whole header in " + message.length + " bytes");
    }
    DirectBuffer buffer = new UnsafeBuffer(message);
    header.wrap(buffer, 0);
    int schema = header.schemaId();
    int template = header.templateId();
    if (schema != MessageHeaderDecoder.SCHEMA_ID) {
      return new Decoded.Unknown<>(schema, template);
    }
    try {
      T value = bodyReader.read(buffer, template);
      return value == null ? new Decoded.Unknown<>(schema, template) : new Decoded.Message<>(value);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      return new Decoded.Malformed<>("message " + template + ": " + e.getMessage());
    }
  }

  /** Reads the body of a message of one kind; null if the kind is not known. */
  private interface BodyReader<T> {
    T read(DirectBuffer buffer, int template);
  }
}
