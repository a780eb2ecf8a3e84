package slateslip.dataplane.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import slateslip.dataplane.HeaderNames;

/**
 * One request and the response that it is owed. What comes after the end, or after the client left,
 * is dropped.
 */
public final class ClientExchange {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ClientConnection connection;
  private final String attemptId;
  private final boolean keepAlive;
  private final boolean headOnly;
  private boolean last;
  private boolean started;
  private boolean ended;

  ClientExchange(
      ClientConnection connection, String attemptId, boolean keepAlive, boolean headOnly) {
    this.connection = connection;
    this.attemptId = attemptId;
    this.keepAlive = keepAlive;
    this.headOnly = headOnly;
  }

  /** Whether a part of the response has been written. */
  public boolean isStarted() {
    return started;
  }

  /**
   * Whether nothing more can be written: the response is complete, broken off, or the client is
   * gone.
   */
  public boolean isEnded() {
    return ended || !connection.owes(this);
  }

  /** Whether the client reads as fast as is written. */
  public boolean isWritable() {
    return connection.channel().isWritable();
  }

  /**
   * Gives a response of the data plane's own, without a body.
   *
   * @param retryAfterMicros what {@code Retry-After} says; 0 leaves it out
   */
  public void respond(HttpResponseStatus status, long retryAfterMicros) {
    if (!isEnded() && !started) {
      writeComplete(ownResponse(status, attemptId, retryAfterMicros));
    }
  }

  /** A response of the data plane's own. */
  static DefaultFullHttpResponse ownResponse(
      HttpResponseStatus status, String attemptId, long retryAfterMicros) {
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    if (retryAfterMicros > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMicros));
    }
    if (!attemptId.isEmpty()) {
      response.headers().set(HeaderNames.ATTEMPT_ID, attemptId);
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return response;
  }

  /**
   * A time in seconds with three decimals. By hand: a formatter costs a process that has just
   * started, and refuses, more than the rest of its response.
   */
  static String seconds(long micros) {
    long millis = (micros + MICROS_PER_MILLI / 2) / MICROS_PER_MILLI;
    String fraction = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
    return millis / MILLIS_PER_SECOND + "." + fraction;
  }

  /** Passes on a backend's whole answer; {@code headers} hold no hop-by-hop ones. */
  public void relay(HttpResponseStatus status, HttpHeaders headers, byte[] body, long length) {
    if (isEnded() || started) {
      return;
    }
    ByteBuf content = headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(headers);
    if (status.code() != HttpResponseStatus.NO_CONTENT.code()
        && status.code() != HttpResponseStatus.NOT_MODIFIED.code()) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    writeComplete(response);
  }

  private void writeComplete(DefaultFullHttpResponse response) {
    started = true;
    ended = true;
    last = connection.isLastResponse(keepAlive);
    markLast(response.headers());
    connection.finish(this, connection.channel().writeAndFlush(response), last);
  }

  private void markLast(HttpHeaders headers) {
    if (last) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Begins a stream of events; it goes out with the first {@link #flush}. */
  public void beginStream(HttpResponseStatus status, HttpHeaders headers) {
    if (isEnded() || started) {
      return;
    }
    started = true;
    var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    HttpUtil.setTransferEncodingChunked(response, true);
    last = connection.isLastResponse(keepAlive);
    markLast(response.headers());
    connection.channel().write(response);
  }

  /** Writes one whole event of a stream that has begun. */
  public void event(byte[] bytes) {
    if (!isEnded() && started) {
      connection.channel().write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
  }

  /** Sends what has been written. */
  public void flush() {
    if (!isEnded()) {
      connection.channel().flush();
    }
  }

  /** Completes a stream. */
  public void endStream() {
    if (isEnded() || !started) {
      return;
    }
    ended = true;
    var written = connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    connection.finish(this, written, last);
  }

  /** Ends the connection, so that what was sent of the response cannot look complete. */
  public void breakOff() {
    if (!isEnded()) {
      ended = true;
      connection.breakOff();
    }
  }
}
