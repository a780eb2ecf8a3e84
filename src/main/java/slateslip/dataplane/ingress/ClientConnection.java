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
 * One client connection: reads requests whole, has them answered one after the other. What is no
 * request is answered with an error in its turn, and the connection ends.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** What a connection is at, as far as its time is limited. */
  enum Phase {
    /** No byte of a next request has come. */
    RESTING,
    /** A head has begun to come. */
    READING_HEAD,
    /** A body has begun to come. */
    READING_BODY,
    /** A response is owed, or waits to be. */
    ANSWERING,
    /** The last response is being written or read. */
    CLOSING
  }

  private static final Logger LOG = Logger.getLogger(ClientConnection.class);

  /** Requests read ahead behind the one being answered, before reading pauses. */
  private static final int MAX_PIPELINED = 16;

  /**
   * How long a connection with unread bytes is kept after its last response, so that no reset
   * overtakes it.
   */
  private static final long LINGER_MILLIS = 500;

  /**
   * Reads of a connection in a row for what has arrived, and rounds of answering that at its end,
   * before a client that goes on sending is left.
   */
  private static final int MAX_ARRIVED_READS = 64;

  private static final int MAX_REFUSAL_ROUNDS = 4;

  private final ClientIngress ingress;
  private final ClientSocketChannel channel;
  private final StrictHttpDecoders.Requests decoder;
  private final PipelinedRequests pipelined = new PipelinedRequests();
  private ClientExchange current;
  private HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;
  private int currentBytes;
  private boolean readingStopped;

  /** What has been read is being decoded; requests of it are served once all of it is. */
  private boolean decoding;

  private Phase phase = Phase.RESTING;
  private long phaseSince = System.nanoTime();

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

  /** How long it has been in its phase; in {@link Phase#READING_BODY}, since the last bytes. */
  long phaseNanos() {
    return System.nanoTime() - phaseSince;
  }

  boolean owes(ClientExchange exchange) {
    return current == exchange;
  }

  int pipelinedRequests() {
    return pipelined.size();
  }

  /** Whether a response that begins now is the last; not so if others are owed behind it. */
  boolean isLastResponse(boolean keepAlive) {
    return !keepAlive || (ingress.endsConnections() && !hasArrived());
  }

  /**
   * Reads what has arrived since the loop last looked: a client cannot tell a request that waits in
   * the socket from one that was read.
   *
   * @return whether a request waits for its response
   */
  private boolean hasArrived() {
    int reads = 0;
    while (!readingStopped
        && pipelined.size() < MAX_PIPELINED
        && reads < MAX_ARRIVED_READS
        && channel.readPending()) {
      reads++;
    }
    return !pipelined.isEmpty();
  }

  private void enter(Phase next) {
    phase = next;
    phaseSince = System.nanoTime();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    ingress.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ingress.closed(this);
    readingStopped = true;
    pipelined.drop(ingress.listener(), DropReason.CLIENT_GONE);
    body = Unpooled.EMPTY_BUFFER;
    ingress.release(reservedBytes);
    reservedBytes = 0;
    ClientExchange left = current;
    current = null;
    if (left != null) {
      ingress.listener().clientGone(left);
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
    if (current != null && channel.isWritable()) {
      ingress.listener().clientWritable(current);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    decoding = false;
    processNext();
    if (phase == Phase.RESTING && decoder.hasStarted()) {
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
      enterUnlessAnswering(Phase.READING_BODY);
      body = Unpooled.buffer(length > 0 ? (int) length : 1024);
      sayContinue(request);
    }
  }

  private void enterUnlessAnswering(Phase next) {
    if (expectsRequest()) {
      enter(next);
    }
  }

  /** Whether what comes now is the request to be served next. */
  private boolean expectsRequest() {
    return current == null && pipelined.isEmpty() && phase != Phase.CLOSING;
  }

  private void sayContinue(HttpRequest request) {
    if (HttpUtil.is100ContinueExpected(request) && expectsRequest()) {
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
    } else if (!ingress.reserve(count)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    } else {
      reservedBytes += count;
      body.writeBytes(bytes);
      enterUnlessAnswering(Phase.READING_BODY);
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

  /** Answers what is no request with an error in its turn; nothing more is read. */
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
   * Serves the next request, if none is being served. Not while bytes are decoded: a response at
   * once would be given as the last before what stands behind the request is known.
   */
  private void processNext() {
    boolean ending = phase == Phase.CLOSING || !channel.isActive();
    if (current != null || pipelined.isEmpty() || decoding || ending) {
      return;
    }
    PipelinedRequests.ParsedRequest parsed = pipelined.poll();
    channel.config().setAutoRead(true);
    enter(Phase.ANSWERING);
    ClientRequest request = parsed.request();
    currentBytes = request == null ? 0 : request.body().length;
    String attemptId = request == null ? "" : request.attributes().attemptId();
    boolean headOnly = request != null && request.method().equals(HttpMethod.HEAD);
    current = new ClientExchange(this, attemptId, parsed.keepAlive(), headOnly);
    if (request == null) {
      boolean full = parsed.error().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
      current.respond(parsed.error(), full ? ClientIngress.RETRY_AFTER_MICROS : 0);
    } else if (ingress.refusesRequests()) {
      current.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientIngress.RETRY_AFTER_MICROS);
    } else {
      ingress.listener().requestArrived(request, current);
    }
  }

  /** After the last byte of a response has been written to the channel. */
  void finish(ClientExchange exchange, ChannelFuture written, boolean last) {
    if (current != exchange) {
      return;
    }
    current = null;
    reservedBytes -= currentBytes;
    ingress.release(currentBytes);
    currentBytes = 0;
    if (last) {
      closeAfter(written);
    } else if (pipelined.isEmpty()) {
      enter(decoder.hasStarted() ? Phase.READING_HEAD : Phase.RESTING);
    } else {
      channel.eventLoop().execute(this::processNext);
    }
  }

  private void closeAfter(ChannelFuture written) {
    enter(Phase.CLOSING);
    ChannelFuture end = written;
    for (int round = 0; round < MAX_REFUSAL_ROUNDS && hasArrived(); round++) {
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

  void breakOff() {
    readingStopped = true;
    current = null;
    pipelined.drop(ingress.listener(), DropReason.BEHIND_BROKEN_RESPONSE);
    enter(Phase.CLOSING);
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Its request took too long to come. */
  void timeOut() {
    reject(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  /** Closes it if it rests, also after what has arrived since the loop last looked is read. */
  void closeIfIdle() {
    if (phase == Phase.RESTING && !channel.readPending()) {
      readingStopped = true;
      channel.close();
    }
  }

  /** Whether bytes of a response wait for the client to read on. */
  boolean hasPendingBytes() {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound != null && outbound.totalPendingWriteBytes() > 0;
  }
}
