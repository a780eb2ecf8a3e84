package slateslip.loadbalancer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Set;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * Reads the responses on a connection to a backend and ends the attempt that uses the connection.
 */
final class BackendResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * Client error statuses that concern the time of the request rather than its content (request
   * timeout, too early, too many requests): another attempt may succeed.
   */
  private static final Set<Integer> MAY_SUCCEED_LATER = Set.of(408, 425, 429);

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int SWITCHING_PROTOCOLS = 101;

  private final BackendConnections owner;
  private final BackendConnection connection;
  private final StrictHttpDecoders.Responses decoder;

  /**
   * The head of the response that is being received, or null. Informational responses (1xx) may
   * precede the final response.
   */
  private HttpResponse head;

  private final ByteBuf body = Unpooled.buffer(0, BackendConnections.BODY_MAX);

  BackendResponseHandler(
      BackendConnections owner,
      BackendConnection connection,
      StrictHttpDecoders.Responses decoder) {
    this.owner = owner;
    this.connection = connection;
    this.decoder = decoder;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    BackendAttempt attempt = connection.attempt();
    if (attempt == null) {
      ctx.close(); // No request awaits this response.
      return;
    }
    String fault = processPart(attempt, part);
    if (fault != null) {
      owner.statistics().recordMalformed(fault);
      // The response is not served, but the backend may have processed the request.
      attempt.connectionLost();
    } else if (part instanceof LastHttpContent) {
      HttpResponse complete = head;
      head = null;
      if (complete.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        finish(attempt, complete);
      }
    }
  }

  /**
   * Processes a part of a response. Returns a description of the fault, or null if the part is
   * valid.
   */
  private String processPart(BackendAttempt attempt, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      return "unreadable: " + part.decoderResult().cause().getMessage();
    }
    if (!attempt.isWritten()) {
      // A response to this request cannot arrive before the request has been sent.
      return "response before the request was sent";
    }
    if (part instanceof HttpResponse first && !beginResponse(first)) {
      return "status "
          + first.status().code()
          + " with body length "
          + StrictHttpDecoders.framing(first.headers());
    }
    return part instanceof HttpContent content && !addBody(content) ? "body too long" : null;
  }

  /**
   * Processes the head of a response. Returns false if the response cannot be received completely.
   */
  private boolean beginResponse(HttpResponse first) {
    head = first;
    int status = first.status().code();
    long length = StrictHttpDecoders.framing(first.headers());
    if (status < FIRST_FINAL_STATUS) {
      return status != SWITCHING_PROTOCOLS; // The agent never requests a protocol upgrade.
    }
    // A body that is announced as too long is rejected at once.
    return length == StrictHttpDecoders.CHUNKED
        || length == StrictHttpDecoders.NO_LENGTH
        || (length >= 0 && length <= BackendConnections.BODY_MAX);
  }

  private boolean addBody(HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > BackendConnections.BODY_MAX) {
      return false;
    }
    body.writeBytes(content.content());
    return true;
  }

  private void finish(BackendAttempt attempt, HttpResponse complete) {
    byte[] bytes = ByteBufUtil.getBytes(body);
    body.clear().capacity(0);
    HttpHeaders headers = complete.headers();
    int status = complete.status().code();
    boolean notStarted = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
    Outcome outcome = status == 200 ? Outcome.OK : notStarted ? Outcome.FULL : Outcome.ERROR;
    ServedResponse served =
        status != 200
            ? null
            : new ServedResponse(
                bytes,
                headers.get(HttpHeaderNames.CONTENT_TYPE),
                headers.get(HttpHeaderNames.CONTENT_ENCODING));
    HttpResponseStatus rejection =
        complete.status().codeClass() == HttpStatusClass.CLIENT_ERROR
                && !MAY_SUCCEED_LATER.contains(status)
            ? complete.status()
            : null;
    boolean hasExplicitEnd = StrictHttpDecoders.framing(headers) != StrictHttpDecoders.NO_LENGTH;
    attempt.end(
        new AttemptResult(
            outcome,
            LoadReport.of(owner.config(), attempt.request().uri(), headers, bytes),
            served,
            rejection),
        hasExplicitEnd && HttpUtil.isKeepAlive(complete) && !decoder.hasLeftoverBytes());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connection.pool().idle.remove(connection);
    if (connection.attempt() != null) {
      connection.attempt().connectionLost();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A response without a length ends when the backend closes the connection. A reset is no such
    // end, so a truncated body must not be served as a complete one.
    if (connection.attempt() != null) {
      connection.attempt().connectionLost();
    }
    ctx.close();
  }
}
