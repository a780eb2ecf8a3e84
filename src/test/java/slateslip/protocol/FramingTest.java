package slateslip.protocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import org.junit.jupiter.api.Test;

/**
 * Tests that a stream is split into messages correctly, however its bytes are divided between
 * reads.
 */
class FramingTest {
  private static final byte[] MESSAGE = {1, 2, 3, 4, 5};

  private final EmbeddedChannel channel = new EmbeddedChannel();

  FramingTest() {
    Framing.addDecoder(channel.pipeline());
  }

  @Test
  void messagesSurviveAnyFragmentation() {
    ByteBuf frame = Framing.frame(ByteBufAllocator.DEFAULT, MESSAGE);
    for (int index = 0; index < frame.readableBytes() - 1; index++) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {frame.getByte(index)}));
      assertThat(channel.readInbound(), is(nullValue()));
    }
    byte last = frame.getByte(frame.readableBytes() - 1);
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {last}));
    ByteBuf message = channel.readInbound();
    assertThat(Framing.bytes(message), equalTo(MESSAGE));
    message.release();
    frame.release();
  }

  @Test
  void severalMessagesInOneReadAreDecoded() {
    ByteBuf first = Framing.frame(ByteBufAllocator.DEFAULT, MESSAGE);
    ByteBuf second = Framing.frame(ByteBufAllocator.DEFAULT, new byte[0]);
    channel.writeInbound(Unpooled.wrappedBuffer(first, second));
    ByteBuf message = channel.readInbound();
    ByteBuf empty = channel.readInbound();
    assertThat(Framing.bytes(message), equalTo(MESSAGE));
    assertThat(Framing.bytes(empty), equalTo(new byte[0]));
    message.release();
    empty.release();
  }

  @Test
  void tooLongFrameIsRejectedByItsLengthField() {
    ByteBuf head = Unpooled.buffer().writeInt(Framing.MAX_MESSAGE_BYTES + 1);
    assertThrows(TooLongFrameException.class, () -> channel.writeInbound(head));
  }

  @Test
  void negativeLengthIsRejected() {
    ByteBuf head = Unpooled.buffer().writeInt(-1);
    assertThrows(DecoderException.class, () -> channel.writeInbound(head));
  }
}
