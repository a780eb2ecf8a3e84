package slateslip.loadbalancer.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Backends in the protocol's form, many in one process, each on a loopback port of its own. One
 * port may serve many names of a list. How long a call takes follows from the seed and the call's
 * target alone, so that the same call takes the same time wherever it is sent and whenever it
 * comes.
 */
public final class BackendStandIns implements AutoCloseable {
  /**
   * How long a class's calls take: a log-normal time.
   *
   * @param medianMicros its median; 0 for a response at once
   * @param sigma the deviation of its logarithm
   */
  public record Work(double medianMicros, double sigma) {
    /** A response at once. */
    public static final Work NONE = new Work(0, 0);

    long nanos(long seed, String target) {
      double deviation =
          sigma == 0 ? 0 : new SplittableRandom(seed + target.hashCode()).nextGaussian();
      return (long) (1000 * medianMicros * Math.exp(sigma * deviation));
    }
  }

  /**
   * What all of them are like.
   *
   * @param classes the work of each class, by its name
   * @param concurrent how many calls one works on at a time
   * @param queueLimit how many may wait; one more is rejected
   * @param warmupFactor how much longer a call takes right after the start; falls to 1 evenly
   * @param warmupMillis how long the start has its effect
   * @param seed for the times
   */
  public record Options(
      Map<String, Work> classes,
      int concurrent,
      int queueLimit,
      double warmupFactor,
      long warmupMillis,
      long seed) {
    /** Answers at once to everything. */
    public static Options atOnce() {
      return new Options(Map.of(), Integer.MAX_VALUE, 0, 1, 0, 0);
    }
  }

  /** What a backend does with what it gets. */
  public enum Mode {
    /** Works. */
    SERVES,
    /** Completes what it has and rejects what is new. */
    DRAINING,
    /** Reads and never answers. */
    HANGS
  }

  /** So far: calls begun, probes, calls rejected, connections accepted. */
  public record Counts(long calls, long probes, long turnedAway, long connections) {}

  private static final int CALL_BYTES_MAX = 64 << 10;
  private static final int BACKLOG = 4096;
  private static final ByteBuf BODY =
      Unpooled.unreleasableBuffer(
          Unpooled.directBuffer(32)
              .writeBytes("{\"served\":true}".getBytes(StandardCharsets.US_ASCII)));

  private final EventLoopGroup group;
  private final Options options;
  private final List<Backend> backends = new ArrayList<>();

  /** None yet; they share the group's event loops. */
  public BackendStandIns(EventLoopGroup group, Options options) {
    this.group = group;
    this.options = options;
  }

  /**
   * One more; it listens when this returns.
   *
   * @param bind a loopback address, port 0 for any
   * @throws IllegalStateException if it cannot be listened on
   */
  public Backend add(InetSocketAddress bind) {
    Backend backend = new Backend(group.next(), bind);
    backends.add(backend);
    return backend;
  }

  /** Those added, in their order. */
  public List<Backend> all() {
    return List.copyOf(backends);
  }

  /** The sums over all. */
  public Counts counts() {
    return backends.stream()
        .map(Backend::counts)
        .reduce(
            new Counts(0, 0, 0, 0),
            (a, b) ->
                new Counts(
                    a.calls + b.calls,
                    a.probes + b.probes,
                    a.turnedAway + b.turnedAway,
                    a.connections + b.connections));
  }

  @Override
  public void close() {
    backends.forEach(each -> each.listener.close().awaitUninterruptibly());
  }

  /** One backend. */
  public final class Backend {
    private final EventLoop loop;
    private final Channel listener;
    private final LongAdder calls = new LongAdder();
    private final LongAdder probes = new LongAdder();
    private final LongAdder turnedAway = new LongAdder();
    private final LongAdder connections = new LongAdder();

    /** On the event loop alone. */
    private final Queue<Call> queue = new ArrayDeque<>();

    private int working;
    private volatile Mode mode = Mode.SERVES;
    private volatile long startedAt = System.nanoTime();

    private Backend(EventLoop loop, InetSocketAddress bind) {
      this.loop = loop;
      var binding =
          new ServerBootstrap()
              .group(loop, loop)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .option(ChannelOption.SO_BACKLOG, BACKLOG)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      connections.increment();
                      ch.pipeline()
                          .addLast(
                              new HttpServerCodec(),
                              new HttpObjectAggregator(CALL_BYTES_MAX),
                              new Handler());
                    }
                  })
              .bind(bind)
              .awaitUninterruptibly();
      if (!binding.isSuccess()) {
        throw new IllegalStateException("cannot listen on " + bind, binding.cause());
      }
      listener = binding.channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
      return (InetSocketAddress) listener.localAddress();
    }

    /** Does otherwise from now on; what it works on goes on. */
    public void set(Mode other) {
      mode = other;
    }

    /** Has just started: its calls take longer for a while. */
    public void warmup() {
      startedAt = System.nanoTime();
    }

    /** What has reached it so far. */
    public Counts counts() {
      return new Counts(calls.sum(), probes.sum(), turnedAway.sum(), connections.sum());
    }

    private long nanos(String target) {
      int end = target.indexOf('?');
      String path = end < 0 ? target : target.substring(0, end);
      int second = path.indexOf('/', 1);
      String name = path.substring(1, second < 0 ? path.length() : second);
      double age = (System.nanoTime() - startedAt) / 1e6 / Math.max(1, options.warmupMillis());
      double factor = Math.max(1, options.warmupFactor() - (options.warmupFactor() - 1) * age);
      Work work = options.classes().getOrDefault(name, Work.NONE);
      return (long) (factor * work.nanos(options.seed(), target));
    }

    private void accept(Call call) {
      boolean busy = working >= options.concurrent();
      if (mode == Mode.DRAINING || (busy && queue.size() >= options.queueLimit())) {
        turnedAway.increment();
        call.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, true);
      } else if (busy) {
        queue.add(call);
      } else {
        begin(call);
      }
    }

    private void begin(Call call) {
      calls.increment();
      long nanos = nanos(call.target);
      if (nanos == 0) {
        call.respond(HttpResponseStatus.OK, false);
        return;
      }
      working++;
      loop.schedule(
          () -> {
            working--;
            call.respond(HttpResponseStatus.OK, false);
            while (working < options.concurrent() && !queue.isEmpty()) {
              Call next = queue.poll();
              if (next.channel.isActive()) {
                begin(next);
              }
            }
          },
          nanos,
          TimeUnit.NANOSECONDS);
    }

    /** Reads one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
      @Override
      protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        Call call = new Call(ctx.channel(), request.uri());
        if (request.uri().equals("/healthz")) {
          probes.increment();
          if (mode != Mode.HANGS) {
            call.respond(
                mode == Mode.SERVES
                    ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE,
                false);
          }
        } else if (!request.headers().contains(ClientLoad.REQUEST_ID)) {
          call.respond(HttpResponseStatus.NOT_FOUND, false);
        } else if (mode != Mode.HANGS) {
          accept(call);
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
      }
    }
  }

  /** A call on its connection. */
  private record Call(Channel channel, String target) {
    void respond(HttpResponseStatus status, boolean notStarted) {
      ByteBuf body =
          status.equals(HttpResponseStatus.OK) ? BODY.duplicate() : Unpooled.EMPTY_BUFFER;
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      if (notStarted) {
        response.headers().set("Not-Started", "1");
      }
      channel.writeAndFlush(response);
    }
  }
}
