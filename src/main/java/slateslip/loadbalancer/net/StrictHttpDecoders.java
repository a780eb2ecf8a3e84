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
 * HTTP/1.1 as the agent reads it from either side: what the library would mend or overlook is an
 * unreadable message here, since two readers that mend differently see different messages in the
 * same bytes.
 */
public final class StrictHttpDecoders {
  private static final int LINE_MAX = 4096;
  private static final int HEAD_MAX = 8192;

  /** How a body ends, where no length tells it. */
  public static final long NO_LENGTH = -1;

  /** The body comes in chunks. */
  public static final long CHUNKED = -2;

  /** The headers contradict each other, or say nothing that can be read. */
  public static final long UNCLEAR = -3;

  private StrictHttpDecoders() {}

  private static HttpDecoderConfig strict(int maxLineBytes, int maxHeadBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(maxLineBytes)
        .setMaxHeaderSize(maxHeadBytes)
        .setAllowDuplicateContentLengths(false)
        .setStrictLineParsing(true);
  }

  /**
   * How a message's body ends: its length, {@link #CHUNKED}, {@link #NO_LENGTH} or {@link
   * #UNCLEAR}.
   */
  public static long framing(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (codings.size() + lengths.size() > 1) {
      return UNCLEAR;
    }
    if (!codings.isEmpty()) {
      return codings.get(0).equalsIgnoreCase("chunked") ? CHUNKED : UNCLEAR;
    }
    return lengths.isEmpty() ? NO_LENGTH : digits(lengths.get(0), UNCLEAR);
  }

  /** A whole number written in digits alone, or the other value. */
  public static long digits(String text, long otherwise) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return otherwise;
    }
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return otherwise;
      }
    }
    return Long.parseLong(text);
  }

  /**
   * Guards against a length beside a coding: the library would drop one, and the next reader the
   * other.
   */
  private static void refuseBoth() {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  private static boolean endsMessage(List<Object> out) {
    return !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** What the application sends. */
  public static final class Requests extends HttpRequestDecoder {
    private boolean atStart = true;

    Requests() {
      this(LINE_MAX, HEAD_MAX);
    }

    /** With limits on the bytes of the request line and of the headers. */
    public Requests(int maxLineBytes, int maxHeadBytes) {
      super(strict(maxLineBytes, maxHeadBytes));
    }

    /** Whether a request has begun to come. */
    public boolean hasStarted() {
      return !atStart;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws Exception {
      if (atStart && in.isReadable()) {
        byte first = in.getByte(in.readerIndex());
        // Guards against noise before a request: the library passes over control characters for
        // ever.
        if (first != '\r' && first != '\n' && (first < 'A' || first > 'Z')) {
          in.skipBytes(in.readableBytes());
          HttpMessage noise = createInvalidMessage();
          noise.setDecoderResult(
              DecoderResult.failure(new IllegalArgumentException("no request line")));
          out.add(noise);
          return;
        }
        atStart = false;
      }
      super.decode(ctx, in, out);
      atStart |= endsMessage(out);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      refuseBoth();
    }
  }

  /** What servers and discovery send. */
  public static final class Responses extends HttpResponseDecoder {
    private boolean atStart = true;

    /**
     * Whether the status line has been read, and the rest is to be read as strictly as in requests.
     */
    private boolean strict;

    private boolean noBody;

    Responses() {
      this(LINE_MAX, HEAD_MAX);
    }

    /** With limits on the bytes of the status line and of the headers. */
    public Responses(int maxLineBytes, int maxHeadBytes) {
      super(strict(maxLineBytes, maxHeadBytes));
    }

    /** Whether bytes have come that belong to no message yet. */
    public boolean leftover() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws Exception {
      if (atStart && in.isReadable()) {
        if (in.getByte(in.readerIndex()) != 'H') { // Guards against noise before a response.
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
        throw new IllegalArgumentException("status line"); // the library would take "+200" for 200
      }
      strict = true;
      return super.createMessage(line);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      refuseBoth();
    }

    /**
     * Reads headers as strictly as those of requests: else a line without a colon counts as one.
     * Not so the status line, which has a space at its end where no reason is given.
     */
    @Override
    protected boolean isDecodingRequest() {
      return strict;
    }

    /** Whether the next answer has no body whatever its headers say, as one to HEAD. */
    public void expectNoBody(boolean none) {
      noBody = none;
    }

    /**
     * Asked at the end of the headers. Without a length the body of a 200 ends with its connection.
     */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      int status = ((HttpResponse) message).status().code();
      strict &= status != 200 || framing(message.headers()) != NO_LENGTH;
      return noBody || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
      return false; // nobody asked for another protocol; what takes a 101 refuses it
    }
  }
}
