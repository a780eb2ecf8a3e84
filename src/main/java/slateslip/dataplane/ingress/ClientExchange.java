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
 * One request and its response. Writes after the end of the response, or after the client
 * disconnected, are ignored.
 */
public final class ClientExchange {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ClientConnection connection;
  private final String attemptId;
  private final boolean keepAlive;
  private final boolean headOnly;
  private boolean lastOnConnection;
  private boolean started;
  private boolean ended;

  ClientExchange(
      ClientConnection connection, String attemptId, boolean keepAlive, boolean headOnly) {
    this.connection = connection;
    this.attemptId = attemptId;
    this.keepAlive = keepAlive;
    this.headOnly = headOnly;
  }

  /** Returns whether a part of the response has been written. */
  public boolean isStarted() {
    return started;
  }

  /**
   * Returns whether no more of the response can be written: the response is complete or was
   * aborted, or the client has disconnected.
   */
  public boolean isEnded() {
    return ended || !connection.isCurrent(this);
  }

  /**
   * Returns whether the client reads as fast as the response is written; false if too many bytes
   * wait to be sent.
   */
  public boolean isWritable() {
    return connection.channel().isWritable();
  }

  /**
   * Sends a response that the data plane generates itself, without a body.
   *
   * @param retryAfterMicros time that {@code Retry-After} states, in microseconds; 0 omits the
   *     header
   */
  public void respond(HttpResponseStatus status, long retryAfterMicros) {
    if (!isEnded() && !started) {
      writeComplete(localResponse(status, attemptId, retryAfterMicros));
    }
  }

  /** Creates a response that the data plane generates itself, without a body. */
  static DefaultFullHttpResponse localResponse(
      HttpResponseStatus status, String attemptId, long retryAfterMicros) {
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    if (retryAfterMicros > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterMicros));
    }
    if (!attemptId.isEmpty()) {
      response.headers().set(HeaderNames.ATTEMPT_ID, attemptId);
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return response;
  }

  /**
   * Formats a time in seconds with three decimals. A library formatter is avoided: in a process
   * that has just started and refuses requests, the formatter costs more than the rest of the
   * response.
   */
  static String formatSeconds(long micros) {
    long millis = (micros + MICROS_PER_MILLI / 2) / MICROS_PER_MILLI;
    String fraction = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
    return millis / MILLIS_PER_SECOND + "." + fraction;
  }

  /**
   * Forwards a complete response of a backend.
   *
   * @param headers headers without hop-by-hop headers
   * @param length value of {@code Content-Length}, in bytes
   */
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
    lastOnConnection = connection.isLastResponse(keepAlive);
    announceClose(response.headers());
    connection.responseWritten(
        this, connection.channel().writeAndFlush(response), lastOnConnection);
  }

  private void announceClose(HttpHeaders headers) {
    if (lastOnConnection) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Starts a stream of events; the head is sent with the first {@link #flush}. */
  public void beginStream(HttpResponseStatus status, HttpHeaders headers) {
    if (isEnded() || started) {
      return;
    }
    started = true;
    var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    HttpUtil.setTransferEncodingChunked(response, true);
    lastOnConnection = connection.isLastResponse(keepAlive);
    announceClose(response.headers());
    connection.channel().write(response);
  }

  /**
   * Writes one complete event of a stream that has started; the event is sent with the next {@link
   * #flush}.
   */
  public void writeEvent(byte[] bytes) {
    if (!isEnded() && started) {
      connection.channel().write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
  }

  /** Sends all data that has been written. */
  public void flush() {
    if (!isEnded()) {
      connection.channel().flush();
    }
  }

  /** Writes and sends the end of a stream. */
  public void endStream() {
    if (isEnded() || !started) {
      return;
    }
    ended = true;
    var written = connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    connection.responseWritten(this, written, lastOnConnection);
  }

  /**
   * Aborts the response and closes the connection, so that the client cannot take the partial
   * response for a complete response.
   */
  public void abort() {
    if (!isEnded()) {
      ended = true;
      connection.abort();
    }
  }
}
