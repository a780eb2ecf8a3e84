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

/** Turns what arrives on a connection into the outcome of its attempt. */
final class BackendResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * Of the answers that blame the request those that blame the moment: too slow, too early, too
   * many.
   */
  private static final Set<Integer> MAY_SUCCEED_LATER = Set.of(408, 425, 429);

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int SWITCHING_PROTOCOLS = 101;

  private final BackendConnections owner;
  private final BackendConnection connection;
  private final StrictHttpDecoders.Responses decoder;

  /**
   * The response that is coming in, or null; one with a status of 1xx goes ahead of the one
   * awaited.
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
      ctx.close(); // a response to nothing
      return;
    }
    String fault = faultOf(attempt, part);
    if (fault != null) {
      owner.statistics().recordMalformed(fault);
      attempt.broken(); // nothing of it is served, and it may have run
    } else if (part instanceof LastHttpContent) {
      HttpResponse complete = head;
      head = null;
      if (complete.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        finish(attempt, complete);
      }
    }
  }

  /** Takes a part of a response; says what is wrong with it, or null. */
  private String faultOf(BackendAttempt attempt, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      return "unreadable: " + part.decoderResult().cause().getMessage();
    }
    if (!attempt.isWritten()) {
      return "early"; // before the request has left whole it cannot be a response to it
    }
    if (part instanceof HttpResponse first && !beginResponse(first)) {
      return "status "
          + first.status().code()
          + " with "
          + StrictHttpDecoders.framing(first.headers());
    }
    return part instanceof HttpContent content && !addBody(content) ? "too long" : null;
  }

  /** Takes the head of a response; false if it cannot end well. */
  private boolean beginResponse(HttpResponse first) {
    head = first;
    int status = first.status().code();
    long length = StrictHttpDecoders.framing(first.headers());
    if (status < FIRST_FINAL_STATUS) {
      return status != SWITCHING_PROTOCOLS; // nobody asked for another protocol
    }
    // One that is too long is not waited for.
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
    boolean rejected = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
    Outcome outcome = status == 200 ? Outcome.OK : rejected ? Outcome.FULL : Outcome.ERROR;
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
    boolean ends = StrictHttpDecoders.framing(headers) != StrictHttpDecoders.NO_LENGTH;
    attempt.end(
        new AttemptResult(
            outcome,
            LoadReport.of(owner.config(), attempt.request().uri(), headers, bytes),
            served,
            rejection),
        ends && HttpUtil.isKeepAlive(complete) && !decoder.leftover());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connection.pool().idle.remove(connection);
    if (connection.attempt() != null) {
      connection.attempt().broken();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Guards against a body cut short that passes for a complete one: with no length given the end
    // of
    // its connection ends it, and a reset is no such end.
    if (connection.attempt() != null) {
      connection.attempt().broken();
    }
    ctx.close();
  }
}
