package slateslip.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Frames on a TCP stream: a 4-byte length in network order, and as many bytes of one SBE message.
 */
public final class Framing {
  /** Bytes of the length field. */
  public static final int LENGTH_BYTES = 4;

  /**
   * Longest message. The operator's bodies hold 4 MiB at most; a table of 12,000 sessions takes
   * some 2 MiB.
   */
  public static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

  private Framing() {}

  /**
   * Adds the handler that cuts the stream into messages; too long a frame raises in the pipeline.
   */
  public static void addDecoder(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /** Puts a message into a frame. */
  public static ByteBuf frame(ByteBufAllocator allocator, byte[] message) {
    ByteBuf frame = allocator.buffer(LENGTH_BYTES + message.length);
    frame.writeInt(message.length);
    frame.writeBytes(message);
    return frame;
  }

  /**
   * Copies a message out of the buffer that the decoder passed on; the caller releases the buffer.
   */
  public static byte[] bytes(ByteBuf message) {
    byte[] bytes = new byte[message.readableBytes()];
    message.readBytes(bytes);
    return bytes;
  }
}
