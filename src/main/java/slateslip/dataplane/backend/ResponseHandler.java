package slateslip.dataplane.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.stream.EventSplitter;
import slateslip.eventloop.WakeUpCause;
import slateslip.loadbalancer.net.StrictHttpDecoders;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Turns what arrives on a backend connection into the outcome of its attempt. A response counts
 * only if it carries the id of the request, and a success only with a stamp and whole.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
  /** Longest answer that is no stream; it is collected whole before it goes on. */
  private static final int MAX_BODY_BYTES = 16 << 20;

  /** Answers to earlier requests that are passed over before a connection counts as broken. */
  private static final int MAX_SURPLUS_BYTES = 2;

  private static final String EVENT_STREAM = "text/event-stream";

  private final BackendConnection connection;
  private final StrictHttpDecoders.Responses decoder;
  private HttpResponse head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private EventSplitter splitter;

  /** The response that is coming in belongs to an earlier request. */
  private boolean surplus;

  private int surplusCount;

  ResponseHandler(BackendConnection connection, StrictHttpDecoders.Responses decoder) {
    this.connection = connection;
    this.decoder = decoder;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    connection.wakeUps().attribute(WakeUpCause.BACKEND);
    BackendAttempt attempt = connection.attempt;
    if (attempt == null) {
      connection.pool.forget(connection);
      context.close();
      return;
    }
    if (!read(attempt, part)) {
      attempt.pool().forget(connection);
      attempt.broken();
    }
  }

  /** Takes a part of a response; false if it can be none of this attempt's. */
  private boolean read(BackendAttempt attempt, HttpObject part) {
    boolean early = !attempt.isWritten() && attempt.request().attemptId().isEmpty();
    if (part.decoderResult().isFailure() || early) {
      connection.malformedResponse();
      return false;
    }
    if (part instanceof HttpResponse response && !begin(attempt, response)) {
      return false;
    }
    if (part instanceof HttpContent content && !add(attempt, content)) {
      connection.malformedResponse();
      return false;
    }
    if (part instanceof LastHttpContent && !attempt.isEnded()) {
      return finish(attempt);
    }
    return true;
  }

  private boolean begin(BackendAttempt attempt, HttpResponse response) {
    head = response;
    int status = response.status().code();
    if (status < HttpResponseStatus.OK.code()) {
      return status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
    HttpHeaders headers = response.headers();
    surplus = !belongsTo(attempt, headers);
    if (surplus) {
      connection.surplusResponse();
      return ++surplusCount <= MAX_SURPLUS_BYTES;
    }
    attempt.responseStarted();
    long length = StrictHttpDecoders.framing(headers);
    if (length == StrictHttpDecoders.UNCLEAR || length > MAX_BODY_BYTES) {
      connection.malformedResponse();
      return false;
    }
    connection.learnKeepTime(headers);
    if (isStream(response)) {
      splitter = new EventSplitter();
      attempt.streamBegan(respond(Unpooled.EMPTY_BUFFER), load(headers));
    } else {
      body = Unpooled.buffer(Math.max(0, (int) length));
    }
    return true;
  }

  private static boolean belongsTo(BackendAttempt attempt, HttpHeaders headers) {
    String expected = attempt.request().attemptId();
    return expected.isEmpty() || expected.equals(headers.get(HeaderNames.ATTEMPT_ID));
  }

  private static boolean isStream(HttpResponse response) {
    String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return response.status().codeClass() == HttpStatusClass.SUCCESS
        && type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length())
        && response.headers().contains(HeaderNames.RESPONSE_STAMP);
  }

  private boolean add(BackendAttempt attempt, HttpContent content) {
    if (surplus) {
      return true;
    }
    if (splitter != null) {
      return splitter.feed(content.content(), attempt::event);
    }
    if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
      return false;
    }
    if (content.content().isReadable()) {
      body.writeBytes(content.content());
    }
    return true;
  }

  private boolean finish(BackendAttempt attempt) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return true;
    }
    if (surplus) {
      surplus = false;
      return true;
    }
    boolean endsWithConnection =
        StrictHttpDecoders.framing(head.headers()) == StrictHttpDecoders.NO_LENGTH;
    if (splitter != null && (splitter.hasPartialEvent() || endsWithConnection)) {
      connection.malformedResponse();
      return false;
    }
    AttemptOutcome.Kind kind = kind(attempt);
    if (kind == AttemptOutcome.Kind.BROKEN) {
      connection.malformedResponse();
      return false;
    }
    BackendResponse complete = splitter == null ? respond(body) : null;
    var outcome = new AttemptOutcome(kind, head.status().code());
    BackendLoad load = splitter == null ? load(head.headers()) : null;
    var result = new AttemptResult(outcome, load, complete);
    boolean reusable = isReusable() && attempt.isWritten();
    reset();
    attempt.end(result, reusable);
    return true;
  }

  private void reset() {
    head = null;
    body = Unpooled.EMPTY_BUFFER;
    splitter = null;
  }

  private boolean isReusable() {
    return surplusCount == 0
        && StrictHttpDecoders.framing(head.headers()) != StrictHttpDecoders.NO_LENGTH
        && HttpUtil.isKeepAlive(head)
        && !decoder.leftover();
  }

  private AttemptOutcome.Kind kind(BackendAttempt attempt) {
    HttpHeaders headers = head.headers();
    int status = head.status().code();
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      boolean probe = attempt.request().attemptId().isEmpty();
      return probe || headers.contains(HeaderNames.RESPONSE_STAMP)
          ? AttemptOutcome.Kind.SUCCESS
          : AttemptOutcome.Kind.BROKEN;
    }
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      String instance = HeaderText.decode(headers.get(HeaderNames.INSTANCE_ID, ""));
      boolean other = !attempt.pool().backendId.equals(instance);
      return other ? AttemptOutcome.Kind.OTHER_INSTANCE : AttemptOutcome.Kind.NOT_EXECUTED;
    }
    return headers.contains(HeaderNames.NOT_EXECUTED)
        ? AttemptOutcome.Kind.NOT_EXECUTED
        : AttemptOutcome.Kind.ERROR_RESPONSE;
  }

  private BackendResponse respond(ByteBuf bytes) {
    HttpHeaders headers = new DefaultHttpHeaders().set(head.headers());
    HeaderNames.removeHopByHop(headers);
    headers.remove(HeaderNames.BACKEND_LOAD);
    byte[] copy = ByteBufUtil.getBytes(bytes);
    long framing = StrictHttpDecoders.framing(head.headers());
    long length = copy.length == 0 && framing > 0 ? framing : copy.length;
    return new BackendResponse(head.status(), headers, copy, length);
  }

  private static BackendLoad load(HttpHeaders headers) {
    String text = headers.get(HeaderNames.BACKEND_LOAD);
    if (text == null) {
      return null;
    }
    String[] parts = text.split(",", -1);
    if (parts.length != 3) {
      return null;
    }
    long running = StrictHttpDecoders.digits(parts[0].trim(), -1);
    long waiting = StrictHttpDecoders.digits(parts[1].trim(), -1);
    long slots = StrictHttpDecoders.digits(parts[2].trim(), -1);
    boolean readable = running >= 0 && waiting >= 0 && slots >= 0;
    return readable ? new BackendLoad((int) running, (int) waiting, (int) slots) : null;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (connection.attempt != null && splitter != null) {
      connection.attempt.readComplete();
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connection.wakeUps().attribute(WakeUpCause.BACKEND);
    connection.pool.forget(connection);
    if (connection.attempt != null) {
      connection.attempt.broken();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // before the close: a response whose length is told by the end of its connection is not
    // complete
    // then
    if (connection.attempt != null) {
      connection.attempt.broken();
    }
    context.close();
  }
}
