package slateslip.dataplane.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.HeaderNames;
import slateslip.loadbalancer.net.StrictHttpDecoders;

/**
 * Client connection: reads complete requests and serves them one after the other. Data that is not
 * a valid request receives an error response after the responses to earlier requests, and the
 * connection is then closed.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Phase of a connection; the phase determines which timeout applies. */
  enum Phase {
    /** No byte of the next request has arrived. */
    IDLE,
    /** The head of a request has started to arrive. */
    READING_HEAD,
    /** The body of a request has started to arrive. */
    READING_BODY,
    /** A request is being served, or a pipelined request is about to be served. */
    RESPONDING,
    /** The last response is being written, or the client is still reading the response. */
    CLOSING
  }

  private static final Logger LOG = Logger.getLogger(ClientConnection.class);

  /** Number of pipelined requests at which reading from the connection is paused. */
  private static final int MAX_PIPELINED = 16;

  /**
   * Time that a connection with unread bytes is kept open after its last response. An immediate
   * close would send a TCP reset, which could reach the client before the response.
   */
  private static final long LINGER_MILLIS = 500;

  /**
   * Maximum number of consecutive reads of data that has already arrived, so that a client that
   * keeps sending does not block the event loop.
   */
  private static final int MAX_CONSECUTIVE_READS = 64;

  /**
   * Maximum number of rounds of reading and refusing requests before the connection is closed, so
   * that a client that keeps sending does not delay the close.
   */
  private static final int MAX_REFUSAL_ROUNDS = 4;

  private final ClientIngress ingress;
  private final ClientSocketChannel channel;
  private final StrictHttpDecoders.Requests decoder;
  private final PipelinedRequests pipelined = new PipelinedRequests();
  private ClientExchange currentExchange;
  private HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;
  private int currentBytes;
  private boolean readingStopped;

  /**
   * Whether received bytes are being decoded; requests are served only after all received bytes
   * have been decoded.
   */
  private boolean decoding;

  private Phase phase = Phase.IDLE;
  private long phaseStartNanos = System.nanoTime();

  ClientConnection(
      ClientIngress ingress, ClientSocketChannel channel, StrictHttpDecoders.Requests decoder) {
    this.ingress = ingress;
    this.channel = channel;
    this.decoder = decoder;
  }

  Channel channel() {
    return channel;
  }

  Phase phase() {
    return phase;
  }

  /**
   * Returns the time since this connection entered its phase, in nanoseconds; in {@link
   * Phase#READING_BODY}, the time since the last bytes of the body arrived.
   */
  long phaseNanos() {
    return System.nanoTime() - phaseStartNanos;
  }

  boolean isCurrent(ClientExchange exchange) {
    return currentExchange == exchange;
  }

  int pipelinedRequests() {
    return pipelined.size();
  }

  /**
   * Returns whether a response that starts now is the last on this connection: either the client
   * asked to close the connection, or the ingress is closing connections and no further request has
   * arrived.
   */
  boolean isLastResponse(boolean keepAlive) {
    return !keepAlive || (ingress.closesAfterResponse() && !readArrivedRequests());
  }

  /**
   * Reads the data that has arrived since the event loop last read the socket. A request in the
   * socket buffer must be treated like a request that was read, because the client cannot
   * distinguish the two.
   *
   * @return whether at least one request waits to be served
   */
  private boolean readArrivedRequests() {
    int reads = 0;
    while (!readingStopped
        && pipelined.size() < MAX_PIPELINED
        && reads < MAX_CONSECUTIVE_READS
        && channel.readPending()) {
      reads++;
    }
    return !pipelined.isEmpty();
  }

  private void enter(Phase next) {
    phase = next;
    phaseStartNanos = System.nanoTime();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    ingress.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ingress.closed(this);
    readingStopped = true;
    pipelined.dropAll(ingress.listener(), DropReason.CLIENT_GONE);
    body = Unpooled.EMPTY_BUFFER;
    ingress.releaseBodyBytes(reservedBytes);
    reservedBytes = 0;
    ClientExchange abandoned = currentExchange;
    currentExchange = null;
    if (abandoned != null) {
      ingress.listener().clientGone(abandoned);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      LOG.errorf(cause, "connection closed: a request could not be handled");
    }
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (currentExchange != null && channel.isWritable()) {
      ingress.listener().clientWritable(currentExchange);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    decoding = false;
    processNext();
    if (phase == Phase.IDLE && decoder.hasStarted()) {
      enter(Phase.READING_HEAD);
    }
    context.fireChannelReadComplete();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    decoding = true;
    if (readingStopped) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      reject(RequestHead.rejection(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request) {
      beginRequest(request);
    }
    if (part instanceof HttpContent content && !readingStopped) {
      addBody(content.content());
    }
    if (part instanceof LastHttpContent && !readingStopped) {
      endRequest();
    }
  }

  private void beginRequest(HttpRequest request) {
    head = request;
    long length = StrictHttpDecoders.framing(request.headers());
    HttpResponseStatus rejection =
        RequestHead.rejection(request, length, ingress.limits().maxBodyBytes());
    if (rejection != null) {
      reject(rejection);
      return;
    }
    if (length > 0 || length == StrictHttpDecoders.CHUNKED) {
      enterIfReadingNextRequest(Phase.READING_BODY);
      body = Unpooled.buffer(length > 0 ? (int) length : 1024);
      sendContinue(request);
    }
  }

  private void enterIfReadingNextRequest(Phase next) {
    if (isReadingNextRequest()) {
      enter(next);
    }
  }

  /** Returns whether the request that is being read is the next to be served. */
  private boolean isReadingNextRequest() {
    return currentExchange == null && pipelined.isEmpty() && phase != Phase.CLOSING;
  }

  private void sendContinue(HttpRequest request) {
    if (HttpUtil.is100ContinueExpected(request) && isReadingNextRequest()) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void addBody(ByteBuf bytes) {
    int count = bytes.readableBytes();
    if (count == 0) {
      return;
    }
    if (body.readableBytes() + count > ingress.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (!ingress.reserveBodyBytes(count)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    } else {
      reservedBytes += count;
      body.writeBytes(bytes);
      enterIfReadingNextRequest(Phase.READING_BODY);
    }
  }

  private void endRequest() {
    byte[] bytes = ByteBufUtil.getBytes(body);
    body = Unpooled.EMPTY_BUFFER;
    HttpHeaders headers = new DefaultHttpHeaders().set(head.headers());
    HeaderNames.removeHopByHop(headers);
    HeaderNames.removeDataPlaneHeaders(headers);
    var attributes = RequestHead.attributes(head, bytes.length);
    String target = HeaderText.decode(head.uri());
    var request = new ClientRequest(head.method(), target, headers, bytes, attributes);
    enqueue(new PipelinedRequests.ParsedRequest(request, null, HttpUtil.isKeepAlive(head)));
  }

  /**
   * Queues an error response to invalid data or to a request that exceeds a limit, and stops
   * reading from the connection.
   */
  private void reject(HttpResponseStatus status) {
    readingStopped = true;
    body = Unpooled.EMPTY_BUFFER;
    enqueue(new PipelinedRequests.ParsedRequest(null, status, false));
  }

  private void enqueue(PipelinedRequests.ParsedRequest parsed) {
    pipelined.add(parsed);
    if (pipelined.size() >= MAX_PIPELINED) {
      channel.config().setAutoRead(false);
    }
    processNext();
  }

  /**
   * Serves the next request if no request is being served. Requests are not served while received
   * bytes are being decoded: an immediate response would be announced as the last on the connection
   * before it is known whether a further request follows in these bytes.
   */
  private void processNext() {
    boolean closing = phase == Phase.CLOSING || !channel.isActive();
    if (currentExchange != null || pipelined.isEmpty() || decoding || closing) {
      return;
    }
    PipelinedRequests.ParsedRequest parsed = pipelined.poll();
    channel.config().setAutoRead(true);
    enter(Phase.RESPONDING);
    ClientRequest request = parsed.request();
    currentBytes = request == null ? 0 : request.body().length;
    String attemptId = request == null ? "" : request.attributes().attemptId();
    boolean headOnly = request != null && request.method().equals(HttpMethod.HEAD);
    currentExchange = new ClientExchange(this, attemptId, parsed.keepAlive(), headOnly);
    if (request == null) {
      boolean retryable = parsed.error().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
      currentExchange.respond(parsed.error(), retryable ? ClientIngress.RETRY_AFTER_MICROS : 0);
    } else if (ingress.refusesRequests()) {
      currentExchange.respond(
          HttpResponseStatus.SERVICE_UNAVAILABLE, ClientIngress.RETRY_AFTER_MICROS);
    } else {
      ingress.listener().requestArrived(request, currentExchange);
    }
  }

  /** Ends an exchange after the last byte of its response was written to the channel. */
  void responseWritten(ClientExchange exchange, ChannelFuture written, boolean last) {
    if (currentExchange != exchange) {
      return;
    }
    currentExchange = null;
    reservedBytes -= currentBytes;
    ingress.releaseBodyBytes(currentBytes);
    currentBytes = 0;
    if (last) {
      closeAfter(written);
    } else if (pipelined.isEmpty()) {
      enter(decoder.hasStarted() ? Phase.READING_HEAD : Phase.IDLE);
    } else {
      channel.eventLoop().execute(this::processNext);
    }
  }

  private void closeAfter(ChannelFuture written) {
    enter(Phase.CLOSING);
    ChannelFuture end = written;
    for (int round = 0; round < MAX_REFUSAL_ROUNDS && readArrivedRequests(); round++) {
      end = pipelined.refuseAll(channel, end);
    }
    boolean unread = readingStopped || decoder.hasStarted();
    readingStopped = true;
    end.addListener(unread ? done -> linger() : ChannelFutureListener.CLOSE);
  }

  private void linger() {
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  void abort() {
    readingStopped = true;
    currentExchange = null;
    pipelined.dropAll(ingress.listener(), DropReason.BEHIND_BROKEN_RESPONSE);
    enter(Phase.CLOSING);
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Rejects a request that took too long to arrive. */
  void timeOut() {
    reject(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  /**
   * Closes this connection if it is idle and no data has arrived since the event loop last read the
   * socket.
   */
  void closeIfIdle() {
    if (phase == Phase.IDLE && !channel.readPending()) {
      readingStopped = true;
      channel.close();
    }
  }

  /** Returns whether bytes of a response cannot be written until the client reads more. */
  boolean hasPendingBytes() {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound != null && outbound.totalPendingWriteBytes() > 0;
  }
}
