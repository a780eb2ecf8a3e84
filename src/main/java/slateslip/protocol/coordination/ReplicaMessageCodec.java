package slateslip.protocol.coordination;

import org.agrona.ExpandableArrayBuffer;
import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.generated.MessageHeaderDecoder;

/** Encodes and decodes the SBE messages between replicas, without the length field of the frame. */
public final class ReplicaMessageCodec {
  /**
   * Schema id in the message header. Distinguishes these messages from other messages on the same
   * connection.
   */
  public static final int SCHEMA_ID = MessageHeaderDecoder.SCHEMA_ID;

  private static final int INITIAL_BYTES = 512;

  private ReplicaMessageCodec() {}

  /** Encodes a message, including the message header. */
  public static byte[] encode(NodeId from, ReplicaMessage message) {
    ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
    byte[] bytes = new byte[new ReplicaMessageEncoder(buffer, from).write(message)];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  /**
   * Decodes a message that occupies the whole array. Invalid bytes yield {@link Decoded.Malformed}.
   */
  public static Decoded<ReplicaFrame> decode(byte[] bytes) {
    return MessageReader.read(
        bytes, SCHEMA_ID, (buffer, template) -> new ReplicaMessageDecoder(buffer).read(template));
  }
}
