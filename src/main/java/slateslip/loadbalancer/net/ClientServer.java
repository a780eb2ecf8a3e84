package slateslip.loadbalancer.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.net.BackendConnections.OutgoingRequest;
import slateslip.loadbalancer.net.BackendConnections.ServedResponse;

/**
 * The application's side: requests in, final answers out. Each exchange is answered once; what is
 * asked in advance on a connection waits for the answer before it. What is no request as the
 * protocol has it is answered with an error in its turn, and its connection ends. All of it runs on
 * the agent's event loop.
 */
final class ClientServer {
  /** What the agent hears. */
  interface Listener {
    /** A well-formed request has come; it is owed one answer through its exchange. */
    void request(IncomingRequest request, Exchange exchange);

    /** The client has closed its connection with this exchange unanswered. */
    void clientLeft(Exchange exchange);
  }

  /**
   * A client's request, its names resolved to the indexes of a configuration's settings. Key and
   * hint are 0 if not given.
   */
  record IncomingRequest(
      AgentConfig config,
      String id,
      int requestClass,
      int tenant,
      long key,
      long hint,
      long timeoutMs,
      boolean repeated,
      OutgoingRequest forward) {
    IncomingRequest with(byte[] body) {
      return new IncomingRequest(
          config,
          id,
          requestClass,
          tenant,
          key,
          hint,
          timeoutMs,
          repeated,
          new OutgoingRequest(forward.method(), forward.uri(), forward.headers(), body));
    }

    /** The name of its class. */
    String type() {
      return config.classes().get(requestClass);
    }
  }

  /**
   * What a connection has asked: a request, the agent's health (neither), or what earned it an
   * error.
   */
  private record ParsedRequest(
      IncomingRequest request, HttpResponseStatus error, boolean keepAlive) {}

  /** What goes from hop to hop only, or is set anew. */
  private static final List<CharSequence> NOT_FORWARDED =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  /** What a request says once at the most; of two, a server might believe the other. */
  private static final List<String> SINGLE_VALUED =
      List.of(
          "Host",
          "Request-Id",
          "Request-Class",
          "Tenant",
          "Affinity-Key",
          BackendConnections.REQUEST_TIMEOUT,
          "Client-Retry",
          "Work-Hint",
          "Request-Info",
          "Idempotency-Key");

  private static final String SETTINGS_VERSION = "Settings-Version";
  private static final long TIMEOUT_MS_MAX = 3_600_000;

  /**
   * Requests read ahead on a connection before it is left alone: by any; on all together; and by
   * one while those are fewer. Guards against working for a client that asked much at once and
   * went, for its close lies behind what it asked; and against heads by the thousand that take the
   * memory.
   */
  private static final int MIN_PIPELINED = 4;

  private static final int MAX_PIPELINED_TOTAL = 512;
  private static final int MAX_PIPELINED = 64;

  /** Reads of one connection in a row. */
  private static final int MAX_READS = 16;

  /**
   * Such rows passed over behind what was no request, while an answer is owed for what came before.
   * Guards against a flood that is read for nothing.
   */
  private static final int MAX_SKIPPED_READS = 16;

  /**
   * How long a connection may take until its first request is whole, or over sending a later one.
   */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long one that has had an answer is kept while there is room, and while there is little. */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long MIN_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long a new connection may say nothing at the least: its first request is on the way. */
  private static final long MIN_FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** How long one that ends may take until its last answer is written, and then over reading it. */
  private static final long RESPONSE_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_LINGERING = 16;

  /**
   * From this part of the room on those kept are closed sooner, and each answer is a connection's
   * last.
   */
  private static final double PRESSURE_FRACTION = 0.6;

  private static final long SWEEP_MS = 100;

  /** The part of the heap that bodies of requests may take. */
  private static final int BODY_HEAP_DIVISOR = 6;

  private AgentConfig config;
  private final Listener listener;
  private final BooleanSupplier ready;
  private final LongSupplier nanoClock;
  private int maxConnections;
  private final Channel server;
  private final Set<Connection> connections = new LinkedHashSet<>();

  /** Of these, the longest there first: nothing said yet. */
  private final Set<Connection> awaitingFirstRequest = new LinkedHashSet<>();

  /** Half a request sent. */
  private final Set<Connection> readingRequest = new LinkedHashSet<>();

  /** Kept after an answer. */
  private final Set<Connection> idle = new LinkedHashSet<>();

  /** Its last answer is being written. */
  private final Set<Connection> writingLastResponse = new LinkedHashSet<>();

  /** Its last answer is being read. */
  private final Set<Connection> lingering = new LinkedHashSet<>();

  private long bufferedBodyBytes;

  /** Requests read ahead on all connections. */
  private int pipelinedRequests;

  private boolean shuttingDown;
  private boolean draining;

  /** Listens; fails with an exception if it cannot. Called from outside the loop. */
  ClientServer(
      EventLoop loop,
      AgentConfig config,
      int maxConnections,
      BooleanSupplier ready,
      Listener listener,
      LongSupplier nanoClock)
      throws IOException {
    this.nanoClock = nanoClock;
    this.config = config;
    this.listener = listener;
    this.ready = ready;
    this.maxConnections = maxConnections;
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // Reads until nothing is left: a close that has come is seen with what came before it.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests();
                    ch.pipeline()
                        .addLast(decoder, new HttpResponseEncoder(), new Connection(ch, decoder));
                  }
                })
            .bind(config.listen())
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException(
          "cannot listen on " + config.listen() + ": " + bindFuture.cause().getMessage());
    }
    this.server = bindFuture.channel();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  Channel channel() {
    return server;
  }

  /** Goes by another configuration from now on. */
  void apply(AgentConfig next, int max) {
    config = next;
    maxConnections = max;
    enforceConnectionLimit();
  }

  /**
   * A request as the configuration in force takes it. Guards against the class or tenant of one
   * configuration being taken for what has its place in another, where that came between the
   * request's head and its turn.
   *
   * @return null if it is no request any more, as with a class that has been removed
   */
  @SuppressWarnings("ReferenceEquality") // each configuration taken over is an object of its own
  IncomingRequest reparse(IncomingRequest request) {
    if (request.config() == config) {
      return request;
    }
    OutgoingRequest forward = request.forward();
    IncomingRequest again =
        parse(
            new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, forward.method(), forward.uri(), forward.headers()));
    return again == null ? null : again.with(forward.body());
  }

  /** From now on it says that it is not ready; all else goes on. */
  void startShutdown() {
    shuttingDown = true;
  }

  /**
   * From now on each answer is the last of its connection, and connections in no use are closed; a
   * new one once its first request must have come.
   */
  void drain() {
    draining = true;
    olderThan(awaitingFirstRequest, MIN_FIRST_REQUEST_NANOS).forEach(Connection::close);
    List.copyOf(idle).forEach(Connection::close);
  }

  /**
   * Takes no further connections, and from those there are soon nothing that has not come whole.
   */
  void stopListening() {
    server.close();
    drain();
    server
        .eventLoop()
        .schedule(
            () -> {
              List.copyOf(awaitingFirstRequest).forEach(Connection::close);
              List.copyOf(readingRequest).forEach(Connection::close);
            },
            MIN_FIRST_REQUEST_NANOS,
            TimeUnit.NANOSECONDS);
  }

  /** Whether no connection is left. */
  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** How many connections there are. */
  int size() {
    return connections.size();
  }

  /**
   * Keeps the connections under the limit on sockets. Guards against running out of descriptors,
   * which would end the agent, and against silent or forgotten connections shutting the others out:
   * they make room, the longest silent first. While none can go none is accepted: one in use must
   * not be closed unannounced, for its next request may be on the way.
   */
  private void enforceConnectionLimit() {
    long now = nanoClock.getAsLong();
    while (connections.size() - lingering.size() - writingLastResponse.size() >= maxConnections) {
      Connection first = oldestSince(awaitingFirstRequest, now - MIN_FIRST_REQUEST_NANOS);
      first = first == null ? oldestSince(idle, now - MIN_IDLE_TIMEOUT_NANOS) : first;
      if (first == null) {
        break;
      }
      first.close();
    }
    server.config().setAutoRead(connections.size() < maxConnections);
  }

  /** The first of them if it has been there since then. */
  private static Connection oldestSince(Set<Connection> some, long phaseSinceNanos) {
    Connection first = some.isEmpty() ? null : some.iterator().next();
    return first != null && first.phaseSinceNanos - phaseSinceNanos <= 0 ? first : null;
  }

  /** Ends what takes too long. Guards against descriptors and memory held for nobody. */
  private void sweep() {
    olderThan(awaitingFirstRequest, REQUEST_TIMEOUT_NANOS).forEach(Connection::close);
    olderThan(idle, underPressure() ? MIN_IDLE_TIMEOUT_NANOS : IDLE_TIMEOUT_NANOS)
        .forEach(Connection::close);
    for (Connection each : olderThan(readingRequest, REQUEST_TIMEOUT_NANOS)) {
      each.reject(HttpResponseStatus.REQUEST_TIMEOUT);
      if (each.phaseSet == readingRequest) {
        each.channel.close(); // it does not read either
      }
    }
    olderThan(writingLastResponse, RESPONSE_WRITE_TIMEOUT_NANOS)
        .forEach(each -> each.channel.close());
    olderThan(lingering, LINGER_NANOS).forEach(each -> each.channel.close());
    enforceConnectionLimit();
  }

  /**
   * Whether room gets scarce: clients that keep their connections without need then have to dial
   * again.
   */
  private boolean underPressure() {
    return connections.size() >= PRESSURE_FRACTION * maxConnections;
  }

  private List<Connection> olderThan(Set<Connection> some, long nanos) {
    long phaseSinceNanos = nanoClock.getAsLong() - nanos;
    return some.stream().filter(each -> each.phaseSinceNanos - phaseSinceNanos <= 0).toList();
  }

  /** One request and the answer it is owed. */
  final class Exchange {
    private final Connection connection;
    private final boolean keepAlive;
    private final int bytes;
    private boolean responded;

    private Exchange(Connection connection, boolean keepAlive, int bytes) {
      this.connection = connection;
      this.keepAlive = keepAlive;
      this.bytes = bytes;
    }

    /** Gives the final answer; a second one, or one to a client that has left, is dropped. */
    void answer(HttpResponseStatus status, ServedResponse served, long retryAfterMicros) {
      answer(status, served, retryAfterMicros, null);
    }

    /** Answers whether the agent is ready, and where settings have versions which is in force. */
    private void health(HttpResponseStatus status) {
      if (config.live() == null) {
        answer(status);
      } else {
        String version = String.valueOf(config.live().version());
        byte[] line = ("settings: version " + version + "\n").getBytes(StandardCharsets.US_ASCII);
        answer(status, new ServedResponse(line, "text/plain", null), 0, version);
      }
    }

    private void answer(
        HttpResponseStatus status, ServedResponse served, long retryAfterMicros, String version) {
      if (responded || connection.reparse != this) {
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
        headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMicros / 1e6));
      }
      if (version != null) {
        headers.set(SETTINGS_VERSION, version);
      }
      boolean last = !keepAlive || draining || underPressure();
      if (last) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      connection.responded(this, connection.channel.writeAndFlush(response), last);
    }

    void answer(HttpResponseStatus status) {
      answer(status, null, 0);
    }
  }

  /** One connection of the application's. */
  private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
    private final SocketChannel channel;
    private final StrictHttpDecoders.Requests decoder;
    private final Deque<ParsedRequest> pipelined = new ArrayDeque<>();

    /** The exchange that is owed an answer, or null. */
    private Exchange reparse;

    /** The set that tells what it is at, while it is owed no answer, and since when. */
    private Set<Connection> phaseSet;

    private long phaseSinceNanos;

    /**
     * The request whose body is coming in, null for one about health; what has come of the body.
     */
    private IncomingRequest incoming;

    private boolean keepAlive;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    /** What its requests' bodies take. */
    private int heldBodyBytes;

    /** Nothing more is taken from it: what came was wrong, or it ends. */
    private boolean deaf;

    private int passedOver;

    /** It is about to be looked at whether something is to be taken. */
    private boolean due;

    Connection(SocketChannel channel, StrictHttpDecoders.Requests decoder) {
      this.channel = channel;
      this.decoder = decoder;
    }

    private void move(Set<Connection> to) {
      if (phaseSet != null) {
        phaseSet.remove(this);
      }
      phaseSet = to;
      phaseSinceNanos = nanoClock.getAsLong();
      if (phaseSet != null) {
        phaseSet.add(this);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(this);
      move(awaitingFirstRequest);
      enforceConnectionLimit();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      move(null);
      deaf = true;
      forgetAhead();
      body = Unpooled.EMPTY_BUFFER;
      bufferedBodyBytes -= heldBodyBytes;
      heldBodyBytes = 0;
      Exchange left = reparse;
      reparse = null;
      if (left != null) {
        listener.clientLeft(left);
      }
      enforceConnectionLimit();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close(); // its connection broke; what it was owed is told by channelInactive
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (deaf) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        reject(HttpResponseStatus.BAD_REQUEST);
        return;
      }
      if (part instanceof HttpRequest head) {
        begin(head);
      }
      if (part instanceof HttpContent content && !deaf) {
        add(content.content());
      }
      if (part instanceof LastHttpContent && !deaf) {
        IncomingRequest complete =
            incoming == null ? null : incoming.with(ByteBufUtil.getBytes(body));
        body = Unpooled.EMPTY_BUFFER;
        ask(new ParsedRequest(complete, null, keepAlive));
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (deaf && ++passedOver >= MAX_SKIPPED_READS) {
        channel.config().setAutoRead(false);
      }
      if ((phaseSet == awaitingFirstRequest || phaseSet == idle) && decoder.hasStarted()) {
        // Guards against waiting twice for an unknown peer that says nothing and then half a
        // request.
        long from = phaseSet == awaitingFirstRequest ? phaseSinceNanos : nanoClock.getAsLong();
        move(readingRequest);
        phaseSinceNanos = from;
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      next();
    }

    private void begin(HttpRequest head) {
      keepAlive = HttpUtil.isKeepAlive(head);
      incoming = null;
      long length = StrictHttpDecoders.framing(head.headers());
      HttpResponseStatus error = badFraming(head, length);
      if (error == null && !health(head)) {
        incoming = parse(head);
        error = incoming == null ? HttpResponseStatus.BAD_REQUEST : null;
      }
      if (error != null) {
        reject(error);
        return;
      }
      if (length > 0 || length == StrictHttpDecoders.CHUNKED) {
        body =
            Unpooled.buffer(
                length > 0 ? (int) Math.min(length, 1024) : 256, BackendConnections.BODY_MAX);
        if (HttpUtil.is100ContinueExpected(head) && reparse == null && pipelined.isEmpty()) {
          channel.writeAndFlush(
              new DefaultFullHttpResponse(
                  HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
      }
    }

    private void add(ByteBuf bytes) {
      int n = bytes.readableBytes();
      if (body.readableBytes() + n > BackendConnections.BODY_MAX) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      } else if (bufferedBodyBytes + n > Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR) {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE); // Guards against running out of memory.
      } else if (n > 0) {
        heldBodyBytes += n;
        bufferedBodyBytes += n;
        body.writeBytes(bytes);
      }
    }

    /**
     * What came is no request. Guards against answering it out of turn, where the client would take
     * the error for the answer to what it asked before, and against reading on what nobody will
     * use.
     */
    private void reject(HttpResponseStatus error) {
      deaf = true;
      body = Unpooled.EMPTY_BUFFER;
      channel
          .config()
          .setAutoRead(reparse != null || !pipelined.isEmpty()); // to see a close behind it
      ask(new ParsedRequest(null, error, false));
    }

    private void ask(ParsedRequest parsed) {
      pipelined.add(parsed);
      pipelinedRequests++;
      if (reparse == null) {
        move(null); // Guards against the end, or want of room, closing it before that is taken.
      }
      limitReading();
      nextLater();
    }

    /**
     * Looks for what is to be taken once all is read that has come. Guards against working for a
     * client whose close came with its request.
     */
    private void nextLater() {
      if (!due) {
        due = true;
        channel
            .eventLoop()
            .execute(
                () -> {
                  due = false;
                  next();
                });
      }
    }

    private void limitReading() {
      if (!deaf) {
        int max = pipelinedRequests < MAX_PIPELINED_TOTAL ? MAX_PIPELINED : MIN_PIPELINED;
        channel.config().setAutoRead(pipelined.size() < max);
      }
    }

    private void forgetAhead() {
      pipelinedRequests -= pipelined.size();
      pipelined.clear();
    }

    /** What was asked is taken in its turn, and not while answers are still to be read. */
    private void next() {
      if (reparse == null && !pipelined.isEmpty() && channel.isWritable()) {
        pipelinedRequests--;
        take(pipelined.poll());
      }
      limitReading();
    }

    private void take(ParsedRequest parsed) {
      move(null);
      IncomingRequest request = parsed.request;
      Exchange exchange =
          new Exchange(this, parsed.keepAlive, request == null ? 0 : request.forward.body().length);
      reparse = exchange;
      try {
        if (parsed.error != null) {
          boolean refused = parsed.error.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
          exchange.answer(parsed.error, null, refused ? Agent.RETRY_AFTER_MICROS : 0);
        } else if (request == null) {
          exchange.health(
              ready.getAsBoolean() && !shuttingDown
                  ? HttpResponseStatus.OK
                  : HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
          listener.request(request, exchange);
        }
      } catch (RuntimeException e) {
        // Guards against a fault here that would leave the client without its answer.
        Agent.say("request failed: " + e);
        exchange.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
      }
    }

    /**
     * After an answer: the connection ends or is in no use, or what was asked in advance is next.
     */
    private void responded(Exchange exchange, ChannelFuture written, boolean last) {
      reparse = null;
      heldBodyBytes -= exchange.bytes;
      bufferedBodyBytes -= exchange.bytes;
      if (last) {
        boolean unread = deaf && decoder.hasStarted();
        deaf = true;
        forgetAhead();
        move(writingLastResponse);
        // Guards against a reset for what was not read, which would overtake the answer.
        written.addListener(unread ? done -> linger() : ChannelFutureListener.CLOSE);
      } else {
        // Guards against the end, or want of room, closing it between this and what is taken next.
        boolean more = !pipelined.isEmpty() && channel.isWritable();
        move(more ? null : decoder.hasStarted() ? readingRequest : idle);
        if (more) {
          nextLater();
        }
      }
    }

    private void linger() {
      if (lingering.size() >= MAX_LINGERING) {
        channel.close();
      } else if (channel.isActive()) {
        move(lingering);
        channel.shutdownOutput();
      }
    }

    /** Closes it once what it was sent is written. */
    private void close() {
      deaf = true;
      move(writingLastResponse);
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static boolean health(HttpRequest head) {
    return head.uri().equals("/healthz")
        && head.method().equals(HttpMethod.GET)
        && !head.headers().contains("Request-Id");
  }

  /** Why the bytes that follow cannot be told apart or will not be read, or null. */
  private static HttpResponseStatus badFraming(HttpRequest head, long length) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
    }
    if (length == StrictHttpDecoders.UNCLEAR) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (length > BackendConnections.BODY_MAX) {
      return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
    }
    String expected = head.headers().get(HttpHeaderNames.EXPECT);
    if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
      return HttpResponseStatus.EXPECTATION_FAILED;
    }
    boolean bodiless = length == 0 || length == StrictHttpDecoders.NO_LENGTH;
    if (head.method().equals(HttpMethod.GET)) {
      return bodiless ? null : HttpResponseStatus.BAD_REQUEST;
    }
    return length == StrictHttpDecoders.NO_LENGTH ? HttpResponseStatus.LENGTH_REQUIRED : null;
  }

  /**
   * The request as the agent takes it, or null if it is not as the protocol has it. Guards against
   * passing on what a server would turn away, or would close a connection for on which more is
   * waiting.
   */
  IncomingRequest parse(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (!visible(request.uri(), '!')
        || !request.uri().startsWith("/")
        || SINGLE_VALUED.stream().anyMatch(name -> headers.getAll(name).size() > 1)) {
      return null;
    }
    for (Map.Entry<String, String> each : headers) {
      if (!visible(each.getValue(), ' ')) {
        return null;
      }
    }
    String named = headers.get("Request-Class", "");
    int requestClass = config.classes().indexOf(named);
    long timeout = StrictHttpDecoders.digits(headers.get(BackendConnections.REQUEST_TIMEOUT), 0);
    long hint = StrictHttpDecoders.digits(headers.get("Work-Hint", "0"), -1);
    String id = headers.get("Request-Id", "");
    int tenant = config.tenants().indexOf(headers.get("Tenant", ""));
    if (requestClass < 0
        || !named.equals(request.uri().split("[/?]", 3)[1])
        || timeout < 1
        || timeout > TIMEOUT_MS_MAX
        || hint < 0
        || !token(id)
        || headers.get("Host", "").isEmpty()
        || (tenant < 0 && !config.tenants().isEmpty())) {
      return null;
    }
    LoadBalancer.Semantics semantics = config.settings().classes().get(requestClass).semantics();
    HttpMethod method = semantics == LoadBalancer.Semantics.SAFE ? HttpMethod.GET : HttpMethod.POST;
    String repeat = headers.get("Idempotency-Key");
    // Guards against an effect twice: without its key no server would drop a repeat.
    boolean keyed = semantics == LoadBalancer.Semantics.KEYED;
    if (!request.method().equals(method)
        || (keyed ? repeat == null || !token(repeat) : repeat != null)) {
      return null;
    }
    HttpHeaders forwarded = new DefaultHttpHeaders().set(headers);
    for (String option : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
      for (String name : option.split(",", 0)) {
        if (SINGLE_VALUED.stream().noneMatch(name.trim()::equalsIgnoreCase)) {
          forwarded.remove(name.trim());
        }
      }
    }
    NOT_FORWARDED.forEach(forwarded::remove);
    String key = headers.get("Affinity-Key", "");
    return new IncomingRequest(
        config,
        id,
        requestClass,
        Math.max(0, tenant),
        key.isEmpty() ? 0 : Discovery.id(key),
        hint,
        timeout,
        "1".equals(headers.get("Client-Retry")),
        new OutgoingRequest(
            request.method(), request.uri(), forwarded, BackendConnections.NO_BODY));
  }

  /** Whether a text is of visible characters alone, and from this one on. */
  private static boolean visible(String text, char min) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if ((c < min || c > '~') && c != '\t') {
        return false;
      }
    }
    return true;
  }

  /** Whether it has the form of an id: letters, digits and a few marks, and not too many. */
  private static boolean token(String text) {
    return !text.isEmpty()
        && text.length() <= 128
        && text.chars()
            .allMatch(
                c ->
                    c < 128
                        && (Character.isLetterOrDigit(c)
                            || c == '-'
                            || c == '_'
                            || c == '.'
                            || c == ':'));
  }
}
