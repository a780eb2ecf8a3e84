package slateslip.protocol.distribution;

import io.netty.buffer.ByteBuf;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.MessageReader;
import slateslip.protocol.distribution.generated.MessageHeaderDecoder;

/**
 * Encodes and decodes the SBE messages between data planes and control agents, without the length
 * field of the frame. Malformed bytes from a peer yield {@link Decoded.Malformed}, never an
 * exception. Not thread-safe.
 */
public final class DistributionCodec {
  private final DistributionEncoder encoder = new DistributionEncoder();
  private final DistributionDecoder decoder = new DistributionDecoder();

  /** Encodes a message to a control agent. */
  public byte[] encode(DataPlaneMessage message) {
    return encoder.encode(message);
  }

  /** Encodes a message to a data plane. */
  public byte[] encode(ControlPlaneMessage message) {
    return encoder.encode(message);
  }

  /** Decodes a message to a control agent and consumes the buffer without releasing it. */
  public Decoded<DataPlaneMessage> decodeToControl(ByteBuf message) {
    return decodeToControl(Framing.bytes(message));
  }

  /** Decodes a message to a control agent. */
  public Decoded<DataPlaneMessage> decodeToControl(byte[] message) {
    return MessageReader.read(message, MessageHeaderDecoder.SCHEMA_ID, decoder::readToControl);
  }

  /** Decodes a message to a data plane and consumes the buffer without releasing it. */
  public Decoded<ControlPlaneMessage> decodeToDataPlane(ByteBuf message) {
    return decodeToDataPlane(Framing.bytes(message));
  }

  /** Decodes a message to a data plane. */
  public Decoded<ControlPlaneMessage> decodeToDataPlane(byte[] message) {
    return MessageReader.read(message, MessageHeaderDecoder.SCHEMA_ID, decoder::readToDataPlane);
  }
}
