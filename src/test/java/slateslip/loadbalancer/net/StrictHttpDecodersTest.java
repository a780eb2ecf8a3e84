package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which messages the decoders accept and reject, for several messages on one connection. */
class StrictHttpDecodersTest {
  /** Returns, for each decoded part, whether the part is readable. */
  private static List<Boolean> readable(EmbeddedChannel channel, String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    List<Boolean> readable = new ArrayList<>();
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      readable.add(part.decoderResult().isSuccess());
    }
    return readable;
  }

  /**
   * Each status line may end with a space. A header line without a colon is rejected, also after a
   * valid response.
   */
  @Test
  void strictHeadersAfterEmptyReason() {
    EmbeddedChannel channel = new EmbeddedChannel(new StrictHttpDecoders.Responses());
    String good = "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\ngood";
    assertEquals(List.of(true, true), readable(channel, good));
    assertEquals(List.of(true, true), readable(channel, good));
    assertEquals(false, readable(channel, "HTTP/1.1 200 \r\nno colon\r\n\r\n").get(0));
  }
}
