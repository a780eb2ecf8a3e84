package slateslip.loadbalancer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/**
 * One client connection: reads requests, queues pipelined requests and sends the responses in the
 * order of the requests. Confined to the agent's event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private record ParsedRequest(
      IncomingRequest request, HttpResponseStatus error, boolean keepAlive) {}

  /**
   * How many consecutive reads are discarded after a malformed request while an earlier request
   * still awaits its response. Afterwards the agent stops reading, so that a flood of bytes does
   * not consume its time.
   */
  private static final int MAX_SKIPPED_READS = 16;

  private static final int MAX_INITIAL_BODY_BYTES = 1024;
  private static final int INITIAL_CHUNKED_BODY_BYTES = 256;

  private final ClientServer server;
  private final ClientConnections connections;
  private final SocketChannel channel;
  private final StrictHttpDecoders.Requests decoder;
  private final Deque<ParsedRequest> pipelined = new ArrayDeque<>();

  /** The exchange that awaits its response, or null. */
  private ClientExchange current;

  /**
   * The set of connections in the current phase, or null while a response is pending. {@link
   * #phaseSinceNanos} is the time at which the connection entered this phase.
   */
  private Set<ClientConnection> phaseSet;

  private long phaseSinceNanos;

  /**
   * The request whose body is being received, or null for a health check. {@link #body} holds the
   * part of the body that has been received.
   */
  private IncomingRequest incoming;

  private boolean keepAlive;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;

  /** The bytes that the bodies of this connection's requests have reserved. */
  private int reservedBodyBytes;

  /**
   * Whether further input is discarded, because a request was malformed or the connection is
   * closing.
   */
  private boolean readingStopped;

  private int skippedReads;

  /** Whether a task that handles the next queued request is already scheduled. */
  private boolean handlingScheduled;

  ClientConnection(
      ClientServer server,
      ClientConnections connections,
      SocketChannel channel,
      StrictHttpDecoders.Requests decoder) {
    this.server = server;
    this.connections = connections;
    this.channel = channel;
    this.decoder = decoder;
  }

  SocketChannel channel() {
    return channel;
  }

  /** Returns whether the given exchange is the one that awaits its response. */
  boolean awaitsResponse(ClientExchange exchange) {
    return current == exchange;
  }

  /** Returns whether this connection is in the given phase. */
  boolean isIn(Set<ClientConnection> phase) {
    return phaseSet == phase;
  }

  /** Returns when this connection entered its phase, by the clock of {@link ClientConnections}. */
  long phaseSinceNanos() {
    return phaseSinceNanos;
  }

  private void enterPhase(Set<ClientConnection> to) {
    if (phaseSet != null) {
      phaseSet.remove(this);
    }
    phaseSet = to;
    phaseSinceNanos = connections.nanoTime();
    if (phaseSet != null) {
      phaseSet.add(this);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    connections.opened(this);
    enterPhase(connections.awaitingFirstRequest);
    connections.enforceLimit();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.closed(this);
    enterPhase(null);
    readingStopped = true;
    clearPipelined();
    body = Unpooled.EMPTY_BUFFER;
    connections.releaseBodyBytes(reservedBodyBytes);
    reservedBodyBytes = 0;
    ClientExchange unanswered = current;
    current = null;
    if (unanswered != null) {
      server.listener().clientLeft(unanswered);
    }
    connections.enforceLimit();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close(); // channelInactive reports an exchange that awaits its response.
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (readingStopped) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (part instanceof HttpRequest head) {
      beginRequest(head);
    }
    if (part instanceof HttpContent content && !readingStopped) {
      addBody(content.content());
    }
    if (part instanceof LastHttpContent && !readingStopped) {
      IncomingRequest complete =
          incoming == null ? null : incoming.withBody(ByteBufUtil.getBytes(body));
      body = Unpooled.EMPTY_BUFFER;
      enqueue(new ParsedRequest(complete, null, keepAlive));
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (readingStopped && ++skippedReads >= MAX_SKIPPED_READS) {
      channel.config().setAutoRead(false);
    }
    if ((phaseSet == connections.awaitingFirstRequest || phaseSet == connections.idle)
        && decoder.hasStarted()) {
      // The time without input counts towards the timeout of the first request. Otherwise a peer
      // could stay silent and then send half a request, and use the timeout twice.
      long from =
          phaseSet == connections.awaitingFirstRequest ? phaseSinceNanos : connections.nanoTime();
      enterPhase(connections.readingRequest);
      phaseSinceNanos = from;
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    handleNext();
  }

  private void beginRequest(HttpRequest head) {
    keepAlive = HttpUtil.isKeepAlive(head);
    incoming = null;
    long length = StrictHttpDecoders.framing(head.headers());
    HttpResponseStatus error = RequestParser.framingError(head, length);
    if (error == null && !RequestParser.isHealthCheck(head)) {
      incoming = server.parse(head);
      error = incoming == null ? HttpResponseStatus.BAD_REQUEST : null;
    }
    if (error != null) {
      reject(error);
      return;
    }
    if (length > 0 || length == StrictHttpDecoders.CHUNKED) {
      body =
          Unpooled.buffer(
              length > 0
                  ? (int) Math.min(length, MAX_INITIAL_BODY_BYTES)
                  : INITIAL_CHUNKED_BODY_BYTES,
              BackendConnections.BODY_MAX);
      if (HttpUtil.is100ContinueExpected(head) && current == null && pipelined.isEmpty()) {
        channel.writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      }
    }
  }

  private void addBody(ByteBuf bytes) {
    int count = bytes.readableBytes();
    if (body.readableBytes() + count > BackendConnections.BODY_MAX) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (!connections.hasRoomForBody(count)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    } else if (count > 0) {
      reservedBodyBytes += count;
      connections.reserveBodyBytes(count);
      body.writeBytes(bytes);
    }
  }

  /**
   * Queues an error response for a malformed request and stops reading. The error is sent after the
   * responses to earlier requests; otherwise the client would take it for the response to an
   * earlier request. Reading stops because nothing after a malformed request is used.
   */
  void reject(HttpResponseStatus error) {
    readingStopped = true;
    body = Unpooled.EMPTY_BUFFER;
    channel
        .config()
        // While responses are pending, reading continues only to detect a close by the client.
        .setAutoRead(current != null || !pipelined.isEmpty());
    enqueue(new ParsedRequest(null, error, false));
  }

  private void enqueue(ParsedRequest parsed) {
    pipelined.add(parsed);
    connections.addPipelined(1);
    if (current == null) {
      // The connection leaves the idle phase, so that neither shutdown nor the connection limit
      // closes the connection before the request is handled.
      enterPhase(null);
    }
    limitReading();
    scheduleNext();
  }

  /**
   * Schedules the handling of the next request after all input that has arrived is read, so that a
   * request whose client has already closed the connection is not processed.
   */
  private void scheduleNext() {
    if (!handlingScheduled) {
      handlingScheduled = true;
      channel
          .eventLoop()
          .execute(
              () -> {
                handlingScheduled = false;
                handleNext();
              });
    }
  }

  private void limitReading() {
    if (!readingStopped) {
      channel.config().setAutoRead(pipelined.size() < connections.maxPipelined());
    }
  }

  /** Returns whether completely received requests are queued. */
  boolean hasPipelined() {
    return !pipelined.isEmpty();
  }

  private void clearPipelined() {
    connections.addPipelined(-pipelined.size());
    pipelined.clear();
  }

  /**
   * Handles the next queued request unless an earlier one awaits its response or the client does
   * not read its responses.
   */
  private void handleNext() {
    if (current == null && !pipelined.isEmpty() && channel.isWritable()) {
      connections.addPipelined(-1);
      handle(pipelined.poll());
    }
    limitReading();
  }

  private void handle(ParsedRequest parsed) {
    enterPhase(null);
    IncomingRequest request = parsed.request;
    ClientExchange exchange =
        new ClientExchange(
            server, this, parsed.keepAlive, request == null ? 0 : request.forward().body().length);
    current = exchange;
    try {
      if (parsed.error != null) {
        boolean refused = parsed.error.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
        exchange.respond(parsed.error, null, refused ? Agent.RETRY_AFTER_MICROS : 0);
      } else if (request == null) {
        exchange.respondWithHealth(
            server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
      } else {
        server.listener().request(request, exchange);
      }
    } catch (RuntimeException e) {
      // An exception in this agent must not leave the client without a response.
      Agent.logLine("cannot handle a request: " + e);
      exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /**
   * Continues after a response has been sent: the connection closes, becomes idle or handles the
   * next queued request.
   */
  void onResponded(ClientExchange exchange, ChannelFuture written, boolean last) {
    current = null;
    reservedBodyBytes -= exchange.bodyBytes();
    connections.releaseBodyBytes(exchange.bodyBytes());
    if (last) {
      boolean unread = readingStopped && decoder.hasStarted();
      readingStopped = true;
      clearPipelined();
      enterPhase(connections.writingLastResponse);
      // Closing the socket with unread input would cause a reset, which could discard the response
      // before the client reads it.
      written.addListener(unread ? done -> linger() : ChannelFutureListener.CLOSE);
    } else {
      // With a queued request the connection must not enter the idle phase, in which shutdown or
      // the connection limit could close it.
      boolean hasNext = !pipelined.isEmpty() && channel.isWritable();
      enterPhase(
          hasNext ? null : decoder.hasStarted() ? connections.readingRequest : connections.idle);
      if (hasNext) {
        scheduleNext();
      }
    }
  }

  private void linger() {
    if (connections.lingering.size() >= ClientConnections.MAX_LINGERING) {
      channel.close();
    } else if (channel.isActive()) {
      enterPhase(connections.lingering);
      channel.shutdownOutput();
    }
  }

  /** Closes this connection once all responses are written. */
  void close() {
    readingStopped = true;
    enterPhase(connections.writingLastResponse);
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }
}
