package slateslip.loadbalancer.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * The connections to the servers: a pool, one request a connection, attempts and probes with their
 * outcomes. All of it runs on the agent's event loop, and every result is queued there, not handed
 * over in a call.
 */
final class BackendConnections {
  /** What is sent: method, target and body go on as they came. */
  record OutgoingRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}

  /** A served answer: the body and what tells how to read it. */
  record ServedResponse(byte[] body, String contentType, String contentEncoding) {}

  /**
   * How an attempt or probe ended; what was served, or the status that blames the request, else
   * null.
   */
  record AttemptResult(
      Outcome outcome, double[] load, ServedResponse served, HttpResponseStatus rejection) {}

  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";
  static final int BODY_MAX = 64 << 10;

  /**
   * Of the answers that blame the request those that blame the moment: too slow, too early, too
   * many.
   */
  private static final Set<Integer> MAY_SUCCEED_LATER = Set.of(408, 425, 429);

  static final byte[] NO_BODY = new byte[0];
  private static final double[] NO_LOAD = new double[0];

  /** The part of the servers' idle time after which a connection is not used again. */
  private static final double IDLE_TIME_FRACTION = 0.75;

  private static final long SWEEP_SECONDS = 1;

  /**
   * A connection rests for this long after an answer. Guards against a second copy or noise right
   * behind the answer, which would be taken for the answer of the next request: it shows in that
   * time.
   */
  private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** A connection that breaks so soon after a write was dead before it. */
  private static final long IMMEDIATE_RESET_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private static final long PROBE_TIMEOUT_MICROS = 250_000;

  /**
   * After this part of the time that a connection may take it is late; another is dialled beside
   * it.
   */
  private static final double LATE_CONNECT_FRACTION = 0.125;

  /**
   * The names of the values as the answers' headers have them, where the settings say otherwise.
   */
  private static final Map<String, String> HEADER_NAMES =
      Map.of(
          "concurrent",
          "inflight",
          "depth",
          "queue",
          "load_share",
          "util",
          "mean_ms",
          "latency_ms",
          "tps",
          "qps",
          "err_ps",
          "eps");

  private final EventLoop loop;
  private AgentConfig config;
  private final RequestStatistics statistics;
  private final Bootstrap bootstrap;
  private final IdleConnectionTimeout idleTimeout;
  private int maxConnections;

  /** How long a connection may take, ms. */
  private int connectTimeoutMillis;

  private final Map<Long, Pool> pools = new HashMap<>();
  private int connections;

  /**
   * What is kept for one server at one address, from its first line as ready until it drains or
   * goes.
   */
  private static final class Pool {
    final InetSocketAddress address;
    final long reuseDelayNanos;

    /** Most recently used first: what is not needed grows old and is closed. */
    final Deque<Connection> idle = new ArrayDeque<>();

    final Set<Attempt> connecting = new HashSet<>();
    boolean retired;

    Pool(InetSocketAddress address, long reuseDelayNanos) {
      this.address = address;
      this.reuseDelayNanos = reuseDelayNanos;
    }

    void closeIdle() {
      while (!idle.isEmpty()) {
        idle.pollFirst().channel.close();
      }
    }
  }

  BackendConnections(
      EventLoop loop, AgentConfig config, int maxConnections, RequestStatistics statistics) {
    this(loop, config, maxConnections, statistics, InspectableSocketChannel::new);
  }

  /** With sockets that come from elsewhere than the usual ones. */
  BackendConnections(
      EventLoop loop,
      AgentConfig config,
      int maxConnections,
      RequestStatistics statistics,
      ChannelFactory<InspectableSocketChannel> sockets) {
    this.loop = loop;
    this.statistics = statistics;
    this.config = config;
    this.maxConnections = maxConnections;
    this.connectTimeoutMillis = connectMs(config);
    this.idleTimeout = new IdleConnectionTimeout(idleNanos(config), System.nanoTime());
    this.bootstrap =
        new Bootstrap().group(loop).channelFactory(sockets).option(ChannelOption.TCP_NODELAY, true);
    loop.scheduleWithFixedDelay(this::closeExpired, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
  }

  private static long idleNanos(AgentConfig config) {
    return (long) (1000 * IDLE_TIME_FRACTION * config.idleCloseMicros());
  }

  private static int connectMs(AgentConfig config) {
    return (int) (config.connectTimeoutMicros() / 1000);
  }

  /** Goes by another configuration from now on; what is out goes on as it began. */
  void apply(AgentConfig next, int connections) {
    config = next;
    maxConnections = connections;
    idleTimeout.limitTo(idleNanos(next));
    connectTimeoutMillis = connectMs(next);
  }

  /** Applies a line of the server list. */
  void update(Discovery.ListedEndpoint endpoint) {
    long id = endpoint.server().id();
    Pool pool = pools.get(id);
    if (endpoint.server().phase() != LoadBalancer.Phase.READY) {
      remove(id);
    } else if (pool == null || !pool.address.equals(endpoint.address())) {
      remove(id); // Guards against using what leads to the address that it had before.
      pools.put(id, new Pool(endpoint.address(), REUSE_DELAY_NANOS));
    }
  }

  /**
   * The agent itself as a server: nothing but its answers comes from it, so connections need no
   * rest.
   */
  void addSelf(long id, InetSocketAddress address) {
    pools.put(id, new Pool(address, 0));
  }

  /**
   * Nothing new goes to this server, and nothing is kept for it but by the attempts that are out.
   * Guards against a request that is written when its connection comes up only after the drain was
   * told, and against memory and connections kept for servers that will never come back.
   */
  void remove(long server) {
    Pool pool = pools.remove(server);
    if (pool != null) {
      pool.retired = true;
      List.copyOf(pool.connecting).forEach(each -> each.end(Outcome.NEVER_SENT));
      pool.closeIdle();
    }
  }

  void closeIdle(long server) {
    Pool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** How many connections to servers there are. */
  int connections() {
    return connections;
  }

  /** How many servers something is kept for. */
  int size() {
    return pools.size();
  }

  private void closeExpired() {
    idleTimeout.decay(System.nanoTime());
    for (Pool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peekLast().isTooOld()) {
        pool.idle.pollLast().channel.close();
      }
    }
  }

  /**
   * Makes room under the limit on sockets by closing the connection that has been idle for longest.
   */
  private boolean makeRoomForConnection() {
    if (connections < maxConnections) {
      return true;
    }
    Connection oldest = null;
    for (Pool pool : pools.values()) {
      Connection last = pool.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince - oldest.idleSince < 0)) {
        oldest = last;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.channel.close();
    return connections < maxConnections;
  }

  /** Takes the most recently used connection that has rested and was silent meanwhile, or none. */
  private Connection takeReusable(Pool pool) {
    for (Connection each : List.copyOf(pool.idle)) {
      if (System.nanoTime() - each.idleSince >= pool.reuseDelayNanos) {
        pool.idle.remove(each);
        if (!each.isTooOld() && each.channel.isIdle()) {
          return each;
        }
        each.channel.close();
      }
    }
    return null;
  }

  /** Sends a request; a time-out of 0 is none. The result comes later, exactly once. */
  Attempt send(
      long server, OutgoingRequest request, long timeoutMicros, Consumer<AttemptResult> onResult) {
    Attempt attempt = new Attempt(server, request, timeoutMicros, onResult);
    attempt.start();
    return attempt;
  }

  /** Asks a server for its health. */
  void probe(long server, Consumer<AttemptResult> onResult) {
    OutgoingRequest request =
        new OutgoingRequest(
            HttpMethod.GET,
            config.loadByProbe() ? "/load" : "/healthz",
            new DefaultHttpHeaders(),
            NO_BODY);
    new Attempt(server, request, PROBE_TIMEOUT_MICROS, onResult).start();
  }

  /** One request on its way to a server, or a probe. */
  final class Attempt {
    private final long server;
    private final long startedAt = System.nanoTime();
    private final OutgoingRequest request;
    private final Consumer<AttemptResult> onResult;
    private final long endAt;
    private final boolean hasTimeout;
    private final Future<?> timer;
    private Pool pool;
    private Connection connection;

    /** How many connections were dialled for it, and those of them that are not up yet. */
    private int dials;

    private final Set<Channel> dialling = new HashSet<>();
    private boolean written;

    /** How long its connection had idled before; negative for a new one. */
    private long idledNanos = -1;

    private boolean ended;

    /** For the log: how it ended and when. */
    private Outcome outcome;

    private long endedAt;

    private Attempt(
        long server,
        OutgoingRequest request,
        long timeoutMicros,
        Consumer<AttemptResult> onResult) {
      this.server = server;
      this.request = request;
      this.onResult = onResult;
      this.hasTimeout = timeoutMicros > 0;
      this.endAt = System.nanoTime() + 1000 * timeoutMicros;
      this.timer =
          hasTimeout
              ? loop.schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS)
              : null;
    }

    long server() {
      return server;
    }

    /** What became of it, in words for the log. */
    String describe() {
      long nanos = (ended ? endedAt : System.nanoTime()) - startedAt;
      String dialled = dials == 0 ? "" : dials == 1 ? " dialled" : " dialled twice";
      return (outcome == null ? "out" : RequestStatistics.word(outcome))
          + dialled
          + (written ? "" : " unwritten")
          + " after "
          + TimeUnit.NANOSECONDS.toMillis(nanos)
          + " ms";
    }

    private void start() {
      pool = pools.get(server);
      if (pool == null) {
        end(Outcome.NEVER_SENT);
        return;
      }
      Connection idle = takeReusable(pool);
      if (idle != null) {
        idledNanos = startedAt - idle.idleSince;
        write(idle);
      } else if (makeRoomForConnection()) {
        connect();
      } else {
        end(Outcome.NEVER_SENT); // Guards against running out of descriptors.
      }
    }

    private void connect() {
      pool.connecting.add(this);
      int timeoutMillis = connectTimeoutMillis;
      dial(timeoutMillis);
      int late = (int) (LATE_CONNECT_FRACTION * timeoutMillis);
      if (!ended && late > 0) {
        loop.schedule(() -> dialSecond(timeoutMillis - late), late, TimeUnit.MILLISECONDS);
      }
    }

    /**
     * Guards against a network that brings some connections up late or never: each would cost its
     * request most of its time. Both dials together take no longer than one may, for a repeat's
     * window depends on that.
     */
    private void dialSecond(int timeoutMillis) {
      if (!ended && connection == null && makeRoomForConnection()) {
        statistics.secondConnectionDialled();
        dial(timeoutMillis);
      }
    }

    private void dial(int timeoutMillis) {
      Connection fresh = new Connection(pool);
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(fresh)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
              .connect(pool.address);
      if (InspectableSocketChannel.noSocket(connecting)) {
        endIfNoneComesUp(Outcome.NEVER_SENT);
        return;
      }
      connections++;
      dials++;
      statistics.connectionDialled();
      Channel dialled = connecting.channel();
      dialling.add(dialled);
      dialled.closeFuture().addListener(closed -> connections--);
      connecting.addListener(
          done -> {
            dialling.remove(dialled);
            if (!done.isSuccess()) {
              endIfNoneComesUp(Outcome.CONNECT_FAILED);
            } else if (pool.retired) {
              dialled.close();
            } else if (ended || connection != null) {
              keep(fresh); // it has its price paid, and serves the next
            } else {
              pool.connecting.remove(this);
              write(fresh);
            }
          });
    }

    private void endIfNoneComesUp(Outcome outcome) {
      if (connection == null && dialling.isEmpty()) {
        end(outcome);
      }
    }

    private void keep(Connection unused) {
      unused.idleSince = System.nanoTime();
      pool.idle.addFirst(unused);
    }

    private void write(Connection to) {
      connection = to;
      to.attempt = this;
      var message =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              request.method,
              request.uri,
              Unpooled.wrappedBuffer(request.body));
      message.headers().set(request.headers);
      HttpHeaders headers = message.headers();
      if (!headers.contains(HttpHeaderNames.HOST)) {
        headers.set(HttpHeaderNames.HOST, "backend");
      }
      if (!request.method.equals(HttpMethod.GET)) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.length);
      }
      if (hasTimeout) {
        headers.set(REQUEST_TIMEOUT, Math.max(1, (endAt - System.nanoTime()) / 1_000_000));
      }
      to.channel
          .writeAndFlush(message)
          .addListener(
              done -> {
                written |= done.isSuccess();
                if (!done.isSuccess()) {
                  end(Outcome.CONNECT_FAILED); // the last byte never left, so it cannot have begun
                }
              });
    }

    /**
     * The connection has ended under the attempt. Before its last byte was written it did not run.
     */
    private void broken() {
      end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    void cancel() {
      end(Outcome.CANCELLED);
    }

    private void end(Outcome outcome) {
      end(new AttemptResult(outcome, NO_LOAD, null, null), false);
    }

    private void end(AttemptResult result, boolean reusable) {
      if (ended) {
        return;
      }
      ended = true;
      outcome = result.outcome();
      endedAt = System.nanoTime();
      boolean atOnce = outcome == Outcome.RESET && endedAt - startedAt < IMMEDIATE_RESET_NANOS;
      if (outcome == Outcome.RESET) {
        statistics.connectionReset(idledNanos >= 0, atOnce);
      }
      if (idledNanos >= 0) {
        idleTimeout.recordUse(idledNanos, atOnce, endedAt);
      }
      if (timer != null) {
        timer.cancel(false);
      }
      if (pool != null) {
        pool.connecting.remove(this);
      }
      if (connection != null) {
        connection.attempt = null;
        if (reusable && written && !pool.retired) {
          keep(connection);
        } else {
          connection.channel.close(); // what may still come on it belongs to nobody
        }
      }
      AgentConfig under = config;
      loop.execute(() -> onResult.accept(reported(result, under)));
    }
  }

  /** Without the report of load if that was read under another configuration's fields. */
  @SuppressWarnings("ReferenceEquality") // each configuration taken over is an object of its own
  private AttemptResult reported(AttemptResult result, AgentConfig under) {
    return under == config
        ? result
        : new AttemptResult(result.outcome(), NO_LOAD, result.served(), result.rejection());
  }

  /** One connection to a server. */
  private final class Connection extends ChannelInitializer<InspectableSocketChannel> {
    private final Pool pool;
    private InspectableSocketChannel channel;

    /** The attempt that uses it, or null. */
    private Attempt attempt;

    private long idleSince;

    Connection(Pool pool) {
      this.pool = pool;
    }

    boolean isTooOld() {
      return System.nanoTime() - idleSince >= idleTimeout.limitNanos();
    }

    @Override
    protected void initChannel(InspectableSocketChannel ch) {
      channel = ch;
      StrictHttpDecoders.Responses decoder = new StrictHttpDecoders.Responses();
      ch.pipeline().addLast(decoder, new HttpRequestEncoder(), new Answers(this, decoder));
    }
  }

  /** Turns what arrives on a connection into the outcome of its attempt. */
  private final class Answers extends SimpleChannelInboundHandler<HttpObject> {
    private final Connection connection;
    private final StrictHttpDecoders.Responses decoder;

    /**
     * The answer that is coming in, or null; one with a status of 1xx goes ahead of the one
     * awaited.
     */
    private HttpResponse head;

    private final ByteBuf body = Unpooled.buffer(0, BODY_MAX);

    Answers(Connection connection, StrictHttpDecoders.Responses decoder) {
      this.connection = connection;
      this.decoder = decoder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      Attempt attempt = connection.attempt;
      if (attempt == null) {
        ctx.close(); // an answer to nothing
        return;
      }
      String spoilt = spoilt(attempt, part);
      if (spoilt != null) {
        statistics.recordMalformed(spoilt);
        attempt.broken(); // nothing of it is served, and it may have run
      } else if (part instanceof LastHttpContent) {
        HttpResponse complete = head;
        head = null;
        if (complete.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
          finish(attempt, complete);
        }
      }
    }

    /** Takes a part of an answer; says what is wrong with it, or null. */
    private String spoilt(Attempt attempt, HttpObject part) {
      if (part.decoderResult().isFailure()) {
        return "unreadable: " + part.decoderResult().cause().getMessage();
      }
      if (!attempt.written) {
        return "early"; // before the request has left whole it cannot be an answer to it
      }
      if (part instanceof HttpResponse first && !begin(first)) {
        return "status "
            + first.status().code()
            + " with "
            + StrictHttpDecoders.framing(first.headers());
      }
      return part instanceof HttpContent content && !add(content) ? "too long" : null;
    }

    /** Takes the head of an answer; false if it cannot end well. */
    private boolean begin(HttpResponse first) {
      head = first;
      int status = first.status().code();
      long length = StrictHttpDecoders.framing(first.headers());
      if (status < 200) {
        return status != 101; // nobody asked for another protocol
      }
      // One that is too long is not waited for.
      return length == StrictHttpDecoders.CHUNKED
          || length == StrictHttpDecoders.NO_LENGTH
          || (length >= 0 && length <= BODY_MAX);
    }

    private boolean add(HttpContent content) {
      if (body.readableBytes() + content.content().readableBytes() > BODY_MAX) {
        return false;
      }
      body.writeBytes(content.content());
      return true;
    }

    private void finish(Attempt attempt, HttpResponse complete) {
      byte[] bytes = ByteBufUtil.getBytes(body);
      body.clear().capacity(0);
      HttpHeaders headers = complete.headers();
      int status = complete.status().code();
      boolean turnedAway =
          (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
      Outcome outcome = status == 200 ? Outcome.OK : turnedAway ? Outcome.FULL : Outcome.ERROR;
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
          new AttemptResult(outcome, load(attempt, headers, bytes), served, rejection),
          ends && HttpUtil.isKeepAlive(complete) && !decoder.leftover());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connection.pool.idle.remove(connection);
      if (connection.attempt != null) {
        connection.attempt.broken();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Guards against a body cut short that passes for a whole one: with no length given the end
      // of
      // its connection ends it, and a reset is no such end.
      if (connection.attempt != null) {
        connection.attempt.broken();
      }
      ctx.close();
    }
  }

  /** The load report of an answer, in the order of the settings' fields; empty if there is none. */
  private double[] load(Attempt attempt, HttpHeaders headers, byte[] body) {
    String text = headers.get("Server-Load");
    if (text == null && attempt.request.uri.equals("/load")) {
      text = new String(body, StandardCharsets.US_ASCII);
    }
    if (text == null || config.settings().loadFields().isEmpty()) {
      return NO_LOAD;
    }
    Map<String, Double> values = new HashMap<>();
    for (String pair : text.split(",", 0)) {
      int equals = pair.indexOf('=');
      try {
        double value = Double.parseDouble(pair.substring(equals + 1).trim());
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
          return NO_LOAD; // Guards against a figure that is none poisoning every mean it enters.
        }
        values.put(pair.substring(0, Math.max(0, equals)).trim(), value);
      } catch (NumberFormatException e) {
        return NO_LOAD;
      }
    }
    List<Double> load = new ArrayList<>();
    for (String name : config.loadFields()) {
      Double value = values.getOrDefault(name, values.get(HEADER_NAMES.getOrDefault(name, name)));
      if (value == null) {
        return NO_LOAD;
      }
      load.add(value);
    }
    return load.stream().mapToDouble(Double::doubleValue).toArray();
  }
}
