package slateslip.loadbalancer.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Open-loop clients in the protocol's form: calls come by a seeded Poisson process whether or not
 * the ones before have been answered, and a latency counts from the intended start. So a late
 * start, here or there, is part of it and nothing is omitted.
 */
public final class ClientLoad implements AutoCloseable {
  /** How a call may be repeated, which says its method. */
  public enum Semantics {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** How a call ended. */
  public enum Outcome {
    /** 200 and a body. */
    SERVED,
    /** 429 or 503. */
    REFUSED,
    /** Any other answer. */
    FAILED,
    /** The connection ended without a whole answer. */
    LOST,
    /** No response within its time. */
    TIMED_OUT,
    /** No connection came up. */
    UNREACHED
  }

  /**
   * A class of calls.
   *
   * @param name the class, the first segment of the path
   * @param share of all calls, beside the other classes' shares
   * @param timeoutMs how long the client waits
   */
  public record Kind(String name, Semantics semantics, double share, long timeoutMs) {}

  /**
   * The calls of one client process. Two streams with one seed make the same calls.
   *
   * @param name told apart by it; a part of the request ids
   * @param to where the calls go, in turn
   * @param perSecond calls a second in the mean
   * @param shiftNanos how much later than its arrivals say each call starts
   */
  public record Stream(
      String name, List<InetSocketAddress> to, double perSecond, long seed, long shiftNanos) {}

  /** Hears of every call, on an event loop. */
  @FunctionalInterface
  public interface Listener {
    /**
     * A call has ended.
     *
     * @param stream the index of its stream
     * @param number the call's number in it, from 0
     * @param nanos from the intended start to the last byte, or to the end of another kind
     */
    void done(int stream, long number, Outcome outcome, long nanos);
  }

  static final String REQUEST_ID = "Request-Id";
  private static final int BODY = 212;
  private static final int MAX_RESPONSE_BYTES = 64 << 10;
  private static final int CONNECT_MS = 1_000;
  private static final int MAX_CONNECTIONS = 256;
  private static final int KEYS = 10_000;

  /** A thread wakes by so much late; the rest is spent watching the clock. */
  private static final long WAKE_NANOS = 80_000;

  private static final long LONGEST_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final List<Source> sources = new ArrayList<>();
  private final List<Kind> kinds;
  private final Listener listener;
  private final Thread pacer = new Thread(this::pace, "pacer");
  private final Histogram late = new ConcurrentHistogram(LONGEST_NANOS, 3);
  private volatile boolean closing;
  private long beganAt;

  /**
   * Ready to begin.
   *
   * @param group runs the connections, each stream's on one event loop
   * @param kinds at least one class
   */
  public ClientLoad(
      EventLoopGroup group, List<Stream> streams, List<Kind> kinds, Listener listener) {
    this.kinds = List.copyOf(kinds);
    this.listener = listener;
    for (Stream each : streams) {
      sources.add(new Source(sources.size(), each, group.next()));
    }
    pacer.setDaemon(true);
  }

  /** Calls come from now on. */
  public void begin() {
    beganAt = System.nanoTime();
    pacer.start();
  }

  /** How calls ended so far, those of one stream. */
  public Map<Outcome, Long> counts(int stream) {
    Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
    sources.get(stream).ended.forEach((outcome, count) -> counts.put(outcome, count.get()));
    return counts;
  }

  private static Map<Outcome, AtomicLong> counters() {
    Map<Outcome, AtomicLong> counters = new EnumMap<>(Outcome.class);
    for (Outcome outcome : Outcome.values()) {
      counters.put(outcome, new AtomicLong());
    }
    return counters;
  }

  /** The same of all streams. */
  public Map<Outcome, Long> counts() {
    Map<Outcome, Long> sums = new EnumMap<>(Outcome.class);
    for (int i = 0; i < sources.size(); i++) {
      counts(i).forEach((outcome, count) -> sums.merge(outcome, count, Long::sum));
    }
    return sums;
  }

  /** Latencies of a stream's served calls, in nanoseconds from the intended start. */
  public Histogram latencies(int stream) {
    return sources.get(stream).latencies.copy();
  }

  /**
   * By how much calls were begun after their intended start, in nanoseconds: the clients' own part.
   */
  public Histogram lateness() {
    return late.copy();
  }

  /** Ends the calls to come and waits until those under way have ended or timed out. */
  @Override
  public void close() {
    closing = true;
    LockSupport.unpark(pacer);
    try {
      pacer.join();
      long max = kinds.stream().mapToLong(Kind::timeoutMs).max().orElse(0) + CONNECT_MS;
      for (long waited = 0; waited < max && open() > 0; waited += 10) {
        Thread.sleep(10);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sources.forEach(Source::close);
  }

  private long open() {
    return sources.stream().mapToLong(each -> each.started - each.ended()).sum();
  }

  private void pace() {
    PriorityQueue<Source> next = new PriorityQueue<>((a, b) -> Long.compare(a.nextAt, b.nextAt));
    sources.forEach(Source::draw);
    next.addAll(sources);
    while (!closing && !next.isEmpty()) {
      Source source = next.poll();
      long at = beganAt + source.nextAt;
      for (long left = at - System.nanoTime();
          left > 0 && !closing;
          left = at - System.nanoTime()) {
        if (left > WAKE_NANOS) {
          LockSupport.parkNanos(left - WAKE_NANOS);
        } else {
          Thread.onSpinWait();
        }
      }
      if (!closing) {
        source.begin(at);
        source.draw();
        next.add(source);
      }
    }
  }

  /** What one stream does: drawn on the pacer's thread, sent and answered on its event loop. */
  private final class Source {
    private final int index;
    private final Stream stream;
    private final EventLoop loop;
    private final Arrivals arrivals;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();
    private final Map<Outcome, AtomicLong> ended = counters();
    private final Histogram latencies = new ConcurrentHistogram(LONGEST_NANOS, 3);
    private final double shares = kinds.stream().mapToDouble(Kind::share).sum();
    private int connections;
    private long nextAt;
    private volatile long started;

    Source(int index, Stream stream, EventLoop loop) {
      this.index = index;
      this.stream = stream;
      this.loop = loop;
      this.arrivals = new Arrivals(stream.seed(), stream.perSecond());
      this.random = new SplittableRandom(~stream.seed());
      this.bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
              .option(ChannelOption.TCP_NODELAY, true);
    }

    void draw() {
      nextAt = arrivals.next() + stream.shiftNanos();
    }

    long ended() {
      long sum = 0;
      for (AtomicLong count : ended.values()) {
        sum += count.get();
      }
      return sum;
    }

    void begin(long at) {
      double point = random.nextDouble() * shares;
      Kind kind = kinds.get(0);
      for (int i = 0; i < kinds.size() && point >= 0; i++) {
        kind = kinds.get(i);
        point -= kind.share();
      }
      long number = started;
      started = number + 1;
      Call call = new Call(this, number, kind, random.nextInt(KEYS), at);
      loop.execute(call::begin);
    }

    void close() {
      loop.submit(
              () ->
                  idle.values().stream()
                      .flatMap(Deque::stream)
                      .toList()
                      .forEach(each -> each.channel.close()))
          .awaitUninterruptibly();
    }
  }

  /** One call of a client, on its stream's event loop. */
  private final class Call {
    private final Source source;
    private final long number;
    private final Kind kind;
    private final int key;
    private final long at;
    private Future<?> timeout;
    private Connection connection;
    private boolean resent;
    private boolean done;

    Call(Source source, long number, Kind kind, int key, long at) {
      this.source = source;
      this.number = number;
      this.kind = kind;
      this.key = key;
      this.at = at;
    }

    void begin() {
      late.recordValue(Math.max(0, Math.min(LONGEST_NANOS, System.nanoTime() - at)));
      timeout =
          source.loop.schedule(
              () -> end(Outcome.TIMED_OUT), kind.timeoutMs(), TimeUnit.MILLISECONDS);
      List<InetSocketAddress> to = source.stream.to();
      send(to.get((int) (number % to.size())), false);
    }

    void send(InetSocketAddress to, boolean fresh) {
      Deque<Connection> idle = source.idle.computeIfAbsent(to, each -> new ArrayDeque<>());
      connection = fresh ? null : idle.pollFirst();
      if (connection != null) {
        connection.send(this);
      } else if (source.connections >= MAX_CONNECTIONS) {
        end(Outcome.UNREACHED);
      } else {
        source.connections++;
        connection = new Connection(source, to);
        connection.open(this);
      }
    }

    void end(Outcome outcome) {
      if (done) {
        return;
      }
      done = true;
      timeout.cancel(false);
      if (outcome != Outcome.SERVED && outcome != Outcome.REFUSED && connection != null) {
        connection.call = null;
        connection.channel.close(); // the client has gone
      }
      long nanos = System.nanoTime() - at;
      if (outcome == Outcome.SERVED) {
        source.latencies.recordValue(Math.min(LONGEST_NANOS, nanos));
      }
      source.ended.get(outcome).incrementAndGet();
      listener.done(source.index, number, outcome, nanos);
    }

    DefaultFullHttpRequest request() {
      boolean safe = kind.semantics() == Semantics.SAFE;
      String id = source.stream.name() + "-" + number;
      ByteBuf body = safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY]);
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              safe ? HttpMethod.GET : HttpMethod.POST,
              "/" + kind.name() + "?n=" + number,
              body);
      request
          .headers()
          .set(HttpHeaderNames.HOST, "origin.svc")
          .set(REQUEST_ID, id)
          .set("Request-Class", kind.name())
          .set("Tenant", "t0")
          .set("Affinity-Key", Integer.toHexString(key))
          .set("Request-Timeout-Ms", Long.toString(kind.timeoutMs()));
      if (kind.semantics() == Semantics.KEYED) {
        request.headers().set("Idempotency-Key", id);
      }
      if (!safe) {
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, BODY);
      }
      return request;
    }
  }

  /** A connection that carries one call at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Source source;
    private final InetSocketAddress to;
    private Channel channel;
    private Call call;
    private boolean used;

    Connection(Source source, InetSocketAddress to) {
      this.source = source;
      this.to = to;
    }

    void open(Call first) {
      call = first;
      var connecting =
          source
              .bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline()
                          .addLast(
                              new HttpClientCodec(),
                              new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                              Connection.this);
                    }
                  })
              .connect(to);
      channel = connecting.channel();
      channel.closeFuture().addListener(closed -> source.connections--);
      connecting.addListener(
          done -> {
            if (call != null && done.isSuccess()) {
              channel.writeAndFlush(call.request());
            } else if (call != null) {
              call.end(Outcome.UNREACHED);
            }
          });
    }

    void send(Call next) {
      used = true;
      call = next;
      channel.writeAndFlush(next.request());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call responded = call;
      call = null;
      int status = response.status().code();
      if (!HttpUtil.isKeepAlive(response) || responded == null) {
        channel.close();
      } else if (status == 200 || status == 429 || status == 503) {
        source.idle.get(to).addFirst(this);
      }
      if (responded != null) {
        responded.end(
            status == 200
                ? Outcome.SERVED
                : status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED);
      }
    }

    /**
     * An idle connection may close just as a call is written: the protocol has it sent again, once.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      source.idle.get(to).remove(this);
      Call cut = call;
      call = null;
      if (cut != null && used && !cut.resent) {
        cut.resent = true;
        cut.send(to, true);
      } else if (cut != null) {
        cut.connection = null;
        cut.end(Outcome.LOST);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
