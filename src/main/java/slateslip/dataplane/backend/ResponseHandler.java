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
 * Reads responses from a backend connection and determines the outcome of the attempt. A response
 * counts only if it carries the attempt id of the request, and a success only if it also carries a
 * response stamp and is complete. Responses to health probes need neither id nor stamp.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * Maximum size of the body of a response that is not a stream; such a body is buffered completely
   * before it is forwarded.
   */
  private static final int MAX_BODY_BYTES = 16 << 20;

  /**
   * Number of responses to earlier requests that are skipped before the connection counts as
   * broken.
   */
  private static final int MAX_SURPLUS_RESPONSES = 2;

  private static final String EVENT_STREAM = "text/event-stream";

  private final BackendConnection connection;
  private final StrictHttpDecoders.Responses decoder;
  private HttpResponse head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private EventSplitter splitter;

  /** Whether the response that is being read belongs to an earlier request. */
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
      connection.pool.removeIdle(connection);
      context.close();
      return;
    }
    if (!read(attempt, part)) {
      attempt.pool().removeIdle(connection);
      attempt.connectionBroken();
    }
  }

  /**
   * Handles a part of a response. Returns false if the part cannot belong to a valid response to
   * this attempt.
   */
  private boolean read(BackendAttempt attempt, HttpObject part) {
    boolean prematureProbeResponse =
        !attempt.isWritten() && attempt.request().attemptId().isEmpty();
    if (part.decoderResult().isFailure() || prematureProbeResponse) {
      connection.countMalformedResponse();
      return false;
    }
    if (part instanceof HttpResponse response && !startResponse(attempt, response)) {
      return false;
    }
    if (part instanceof HttpContent content && !addContent(attempt, content)) {
      connection.countMalformedResponse();
      return false;
    }
    if (part instanceof LastHttpContent && !attempt.isEnded()) {
      return finishResponse(attempt);
    }
    return true;
  }

  private boolean startResponse(BackendAttempt attempt, HttpResponse response) {
    head = response;
    int status = response.status().code();
    if (status < HttpResponseStatus.OK.code()) {
      return status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
    HttpHeaders headers = response.headers();
    surplus = !belongsTo(attempt, headers);
    if (surplus) {
      connection.countSurplusResponse();
      return ++surplusCount <= MAX_SURPLUS_RESPONSES;
    }
    attempt.responseStarted();
    long length = StrictHttpDecoders.framing(headers);
    if (length == StrictHttpDecoders.AMBIGUOUS || length > MAX_BODY_BYTES) {
      connection.countMalformedResponse();
      return false;
    }
    connection.readKeepAliveTimeout(headers);
    if (isStream(response)) {
      splitter = new EventSplitter();
      attempt.streamStarted(toBackendResponse(Unpooled.EMPTY_BUFFER), parseLoad(headers));
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

  private boolean addContent(BackendAttempt attempt, HttpContent content) {
    if (surplus) {
      return true;
    }
    if (splitter != null) {
      return splitter.feed(content.content(), attempt::eventReceived);
    }
    if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
      return false;
    }
    if (content.content().isReadable()) {
      body.writeBytes(content.content());
    }
    return true;
  }

  private boolean finishResponse(BackendAttempt attempt) {
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
      connection.countMalformedResponse();
      return false;
    }
    AttemptOutcome.Kind kind = outcomeKind(attempt);
    if (kind == AttemptOutcome.Kind.BROKEN) {
      connection.countMalformedResponse();
      return false;
    }
    BackendResponse complete = splitter == null ? toBackendResponse(body) : null;
    var outcome = new AttemptOutcome(kind, head.status().code());
    BackendLoad load = splitter == null ? parseLoad(head.headers()) : null;
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
        && !decoder.hasLeftoverBytes();
  }

  private AttemptOutcome.Kind outcomeKind(BackendAttempt attempt) {
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

  private BackendResponse toBackendResponse(ByteBuf bytes) {
    HttpHeaders headers = new DefaultHttpHeaders().set(head.headers());
    HeaderNames.removeHopByHop(headers);
    headers.remove(HeaderNames.BACKEND_LOAD);
    byte[] copy = ByteBufUtil.getBytes(bytes);
    long framing = StrictHttpDecoders.framing(head.headers());
    long length = copy.length == 0 && framing > 0 ? framing : copy.length;
    return new BackendResponse(head.status(), headers, copy, length);
  }

  private static BackendLoad parseLoad(HttpHeaders headers) {
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
    connection.pool.removeIdle(connection);
    if (connection.attempt != null) {
      connection.attempt.connectionBroken();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The attempt ends before the connection is closed. Otherwise the decoder would take the close
    // for the regular end of a response without a length, and the response would count as complete.
    if (connection.attempt != null) {
      connection.attempt.connectionBroken();
    }
    context.close();
  }
}
