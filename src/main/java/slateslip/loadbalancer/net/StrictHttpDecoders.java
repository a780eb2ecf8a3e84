package slateslip.loadbalancer.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * HTTP/1.1 decoders for both sides of the agent. They reject as unreadable what Netty would correct
 * or ignore, because two readers that correct the same bytes differently see different messages
 * (request smuggling).
 */
public final class StrictHttpDecoders {
  private static final int LINE_MAX = 4096;
  private static final int HEAD_MAX = 8192;

  /** Body framing of a message that states no length. */
  public static final long NO_LENGTH = -1;

  /** Body framing of a message with a chunked body. */
  public static final long CHUNKED = -2;

  /** Body framing of a message whose headers contradict each other or are unreadable. */
  public static final long AMBIGUOUS = -3;

  private StrictHttpDecoders() {}

  private static HttpDecoderConfig strict(int maxLineBytes, int maxHeadBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(maxLineBytes)
        .setMaxHeaderSize(maxHeadBytes)
        .setAllowDuplicateContentLengths(false)
        .setStrictLineParsing(true);
  }

  /**
   * Returns how the end of a message's body is determined: its length in bytes, {@link #CHUNKED},
   * {@link #NO_LENGTH} or {@link #AMBIGUOUS}.
   */
  public static long framing(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (codings.size() + lengths.size() > 1) {
      return AMBIGUOUS;
    }
    if (!codings.isEmpty()) {
      return codings.get(0).equalsIgnoreCase("chunked") ? CHUNKED : AMBIGUOUS;
    }
    return lengths.isEmpty() ? NO_LENGTH : digits(lengths.get(0), AMBIGUOUS);
  }

  /**
   * Parses an integer that consists only of 1 to 18 digits; returns {@code defaultValue} for any
   * other text and for null.
   */
  public static long digits(String text, long defaultValue) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return defaultValue;
    }
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return defaultValue;
      }
    }
    return Long.parseLong(text);
  }

  /**
   * Rejects a message with both headers: Netty would ignore one of them, and the next reader might
   * ignore the other.
   */
  private static void rejectLengthWithCoding() {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  private static boolean endsMessage(List<Object> out) {
    return !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Decodes the requests of clients. */
  public static final class Requests extends HttpRequestDecoder {
    private boolean atStart = true;

    Requests() {
      this(LINE_MAX, HEAD_MAX);
    }

    /**
     * Creates a decoder with limits on the number of bytes of the request line and of the headers.
     */
    public Requests(int maxLineBytes, int maxHeadBytes) {
      super(strict(maxLineBytes, maxHeadBytes));
    }

    /** Returns whether a part of a request has arrived. */
    public boolean hasStarted() {
      return !atStart;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws Exception {
      if (atStart && in.isReadable()) {
        byte first = in.getByte(in.readerIndex());
        // Netty would skip control characters before a request without limit.
        if (first != '\r' && first != '\n' && (first < 'A' || first > 'Z')) {
          in.skipBytes(in.readableBytes());
          HttpMessage invalid = createInvalidMessage();
          invalid.setDecoderResult(
              DecoderResult.failure(
                  new IllegalArgumentException("request line does not start with a method")));
          out.add(invalid);
          return;
        }
        atStart = false;
      }
      super.decode(ctx, in, out);
      atStart |= endsMessage(out);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      rejectLengthWithCoding();
    }
  }

  /** Decodes the responses of backends and of the discovery service. */
  public static final class Responses extends HttpResponseDecoder {
    private boolean atStart = true;

    /** Whether the status line has been read, so that the rest is read as strictly as a request. */
    private boolean strict;

    private boolean noBody;

    Responses() {
      this(LINE_MAX, HEAD_MAX);
    }

    /**
     * Creates a decoder with limits on the number of bytes of the status line and of the headers.
     */
    public Responses(int maxLineBytes, int maxHeadBytes) {
      super(strict(maxLineBytes, maxHeadBytes));
    }

    /** Returns whether bytes have arrived that belong to no message yet. */
    public boolean hasLeftoverBytes() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws Exception {
      if (atStart && in.isReadable()) {
        // The input is not a response.
        if (in.getByte(in.readerIndex()) != 'H') {
          in.skipBytes(in.readableBytes());
          ctx.close();
          return;
        }
        atStart = false;
      }
      super.decode(ctx, in, out);
      atStart |= endsMessage(out);
      strict &= !atStart;
    }

    @Override
    protected HttpMessage createMessage(String[] line) {
      if ((!line[0].equals("HTTP/1.1") && !line[0].equals("HTTP/1.0"))
          || line[1].length() != 3
          || digits(line[1], 0) < 100) {
        // Netty would accept "+200" as status 200.
        throw new IllegalArgumentException("malformed status line");
      }
      strict = true;
      return super.createMessage(line);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      rejectLengthWithCoding();
    }

    /**
     * Returns whether Netty reads the input as strictly as a request. Headers are read strictly,
     * because a line without a colon would otherwise count as a header. The status line is not,
     * because it ends with a space if it has no reason phrase.
     */
    @Override
    protected boolean isDecodingRequest() {
      return strict;
    }

    /**
     * Sets whether the next response has no body whatever its headers state, as the response to
     * HEAD.
     */
    public void expectNoBody(boolean none) {
      noBody = none;
    }

    /**
     * Called by Netty at the end of the headers. A 200 response without a length ends when its
     * connection closes.
     */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      int status = ((HttpResponse) message).status().code();
      strict &= status != 200 || framing(message.headers()) != NO_LENGTH;
      return noBody || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
      // The agent never requests a protocol upgrade, and the handlers reject status 101.
      return false;
    }
  }
}
