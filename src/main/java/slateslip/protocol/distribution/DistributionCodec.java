package slateslip.protocol.distribution;

import io.netty.buffer.ByteBuf;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.MessageReader;
import slateslip.protocol.distribution.generated.MessageHeaderDecoder;

/**
 * Writes and reads the messages between data planes and control agents: an SBE header and body,
 * without the frame's length. An error of the peer is a value, never thrown. Not safe for several
 * threads.
 */
public final class DistributionCodec {
  private final DistributionEncoder encoder = new DistributionEncoder();
  private final DistributionDecoder decoder = new DistributionDecoder();

  /** Bytes of a message to a control agent. */
  public byte[] encode(DataPlaneMessage message) {
    return encoder.encode(message);
  }

  /** Bytes of a message to a data plane. */
  public byte[] encode(ControlPlaneMessage message) {
    return encoder.encode(message);
  }

  /** Reads a message to a control agent and consumes the buffer, without releasing it. */
  public Decoded<DataPlaneMessage> decodeToControl(ByteBuf message) {
    return decodeToControl(Framing.bytes(message));
  }

  /** Reads a message to a control agent. */
  public Decoded<DataPlaneMessage> decodeToControl(byte[] message) {
    return MessageReader.read(message, MessageHeaderDecoder.SCHEMA_ID, decoder::readToControl);
  }

  /** Reads a message to a data plane and consumes the buffer, without releasing it. */
  public Decoded<ControlPlaneMessage> decodeToDataPlane(ByteBuf message) {
    return decodeToDataPlane(Framing.bytes(message));
  }

  /** Reads a message to a data plane. */
  public Decoded<ControlPlaneMessage> decodeToDataPlane(byte[] message) {
    return MessageReader.read(message, MessageHeaderDecoder.SCHEMA_ID, decoder::readToDataPlane);
  }
}
