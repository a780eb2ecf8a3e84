package slateslip.loadbalancer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** One client request and its response. */
final class ClientExchange {
  private static final String SETTINGS_VERSION = "Settings-Version";
  private static final double MICROS_PER_SECOND = 1e6;

  private final ClientServer server;
  private final ClientConnection connection;
  private final boolean keepAlive;
  private final int bodyBytes;
  private boolean responded;

  ClientExchange(
      ClientServer server, ClientConnection connection, boolean keepAlive, int bodyBytes) {
    this.server = server;
    this.connection = connection;
    this.keepAlive = keepAlive;
    this.bodyBytes = bodyBytes;
  }

  /** Returns how many bytes the request's body has reserved. */
  int bodyBytes() {
    return bodyBytes;
  }

  /**
   * Sends the final response. Does nothing if the response has already been sent or the client has
   * left.
   */
  void respond(HttpResponseStatus status, ServedResponse served, long retryAfterMicros) {
    respond(status, served, retryAfterMicros, null);
  }

  /**
   * Responds to a health check and states the version of the settings in force, if the settings
   * have versions.
   */
  void respondWithHealth(HttpResponseStatus status) {
    if (server.config().live() == null) {
      respond(status);
    } else {
      String version = String.valueOf(server.config().live().version());
      byte[] line = ("settings: version " + version + "\n").getBytes(StandardCharsets.US_ASCII);
      respond(status, new ServedResponse(line, "text/plain", null), 0, version);
    }
  }

  private void respond(
      HttpResponseStatus status, ServedResponse served, long retryAfterMicros, String version) {
    if (responded || !connection.awaitsResponse(this)) {
      return;
    }
    responded = true;
    ByteBuf body = served == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(served.body());
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (served != null && served.contentType() != null) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, served.contentType());
    }
    if (served != null && served.contentEncoding() != null) {
      headers.set(HttpHeaderNames.CONTENT_ENCODING, served.contentEncoding());
    }
    if (retryAfterMicros > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMicros / MICROS_PER_SECOND));
    }
    if (version != null) {
      headers.set(SETTINGS_VERSION, version);
    }
    // Requests that were completely received behind this one still get their responses.
    boolean last = !keepAlive || (server.closesConnections() && !connection.hasPipelined());
    if (last) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    connection.onResponded(this, connection.channel().writeAndFlush(response), last);
  }

  void respond(HttpResponseStatus status) {
    respond(status, null, 0);
  }
}
