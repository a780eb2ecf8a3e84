package slateslip.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Frames messages on a TCP stream. A frame is a 4-byte length in network byte order, followed by
 * one SBE message of that length.
 */
public final class Framing {
  /** Size of the length field in bytes. */
  public static final int LENGTH_BYTES = 4;

  /**
   * Maximum length of a message. The largest messages are the operator's request bodies with at
   * most 4 MiB, and tables of 12,000 sessions with about 2 MiB.
   */
  public static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

  private Framing() {}

  /**
   * Adds the handler that splits the stream into messages. A frame longer than {@link
   * #MAX_MESSAGE_BYTES} causes an exception in the pipeline.
   */
  public static void addDecoder(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /** Returns a new buffer with a message in a frame. The caller releases the buffer. */
  public static ByteBuf frame(ByteBufAllocator allocator, byte[] message) {
    ByteBuf frame = allocator.buffer(LENGTH_BYTES + message.length);
    frame.writeInt(message.length);
    frame.writeBytes(message);
    return frame;
  }

  /**
   * Copies a message out of a buffer from the decoder and consumes the buffer. The caller releases
   * the buffer.
   */
  public static byte[] bytes(ByteBuf message) {
    byte[] bytes = new byte[message.readableBytes()];
    message.readBytes(bytes);
    return bytes;
  }
}
