package slateslip.loadbalancer.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Discovery in the protocol's form: whole lists, and watches that wait for what is newer. All of it
 * runs on one event loop, as the one service that it stands for. Its methods wait for that loop, so
 * they must not be called on another handler's loop; on its own they run at once.
 */
public final class DiscoveryStandIn implements AutoCloseable {
  /**
   * How it behaves.
   *
   * @param firstVersion the version of the empty list that it starts with
   * @param logEntries how many changed entries are kept; an older version gets the whole list
   * @param capacity a fixed capacity; null where it answers as fast as it can
   * @param alsoAt further addresses to listen at: agents told different ones are told apart by them
   * @param startsDown whether it listens only once {@link #up} is called, so that it has its list
   *     first
   * @param observer hears which version an agent has
   */
  public record Options(
      long firstVersion,
      int logEntries,
      Capacity capacity,
      List<InetSocketAddress> alsoAt,
      boolean startsDown,
      Observer observer) {
    private static final int LOG_ENTRIES = 10_000;

    /** Listens at once, answers as fast as it can and has a log of 10,000 entries. */
    public static Options fast(Observer observer) {
      return new Options(0, LOG_ENTRIES, null, List.of(), false, observer);
    }

    /** The same with further addresses. */
    public Options alsoAt(List<InetSocketAddress> further) {
      return new Options(
          firstVersion, logEntries, capacity, List.copyOf(further), startsDown, observer);
    }
  }

  /**
   * Answers one after another.
   *
   * @param callMicros what each answer takes
   * @param lineNanos what each entry in a response takes besides
   * @param queueLimit how many calls may wait for their turn; one more gets 503
   * @param queueMillis how long a call may wait for its turn; then it gets 503
   */
  public record Capacity(long callMicros, long lineNanos, int queueLimit, long queueMillis) {}

  /** Hears, on the event loop, which version an agent has. */
  @FunctionalInterface
  public interface Observer {
    /**
     * An agent has called for what is newer than the version, hence has it.
     *
     * @param agent which one, see {@link Counts}
     * @param version what it has
     * @param nanoTime when the call came, by {@link System#nanoTime}
     */
    void has(String agent, long version, long nanoTime);
  }

  /**
   * What it has done, or done for one agent. An agent is named by its own host where that is not
   * 127.0.0.1; else by the host that it called where that is a further address; else by its host
   * and port, which change with each connection.
   *
   * @param connections accepted
   * @param calls that came
   * @param watching calls that wait now
   * @param wholes answers with the whole list
   * @param deltas answers with changes
   * @param empties answers with nothing new
   * @param refused answers 503
   * @param bytesIn bytes of calls, without those of TCP and IP
   * @param bytesOut bytes of answers handed to the sockets, likewise
   */
  public record Counts(
      long connections,
      long calls,
      long watching,
      long wholes,
      long deltas,
      long empties,
      long refused,
      long bytesIn,
      long bytesOut) {}

  /** The protocol's limit on a watch's wait. */
  private static final long MAX_WAIT_MS = 60_000;

  private static final int BACKLOG = 4096;
  private static final int CALL_BYTES_MAX = 4096;
  private static final String LOCAL = "127.0.0.1";

  private final EventLoop loop;
  private final Options options;
  private final ServerLog log;
  private final DelayedResponseQueue queue;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Caller> callers = new LinkedHashSet<>();
  private final Set<PendingWatch> watches = new LinkedHashSet<>();
  private final Map<String, Counters> agents = new HashMap<>();
  private final Counters all = new Counters();
  private boolean unresponsive;

  /** Sums that grow. */
  private static final class Counters {
    private long connections;
    private long calls;
    private long watching;
    private long wholes;
    private long deltas;
    private long empties;
    private long refused;
    private long bytesIn;
    private long bytesOut;

    Counts counts() {
      return new Counts(
          connections, calls, watching, wholes, deltas, empties, refused, bytesIn, bytesOut);
    }
  }

  /**
   * Listens when this returns, with an empty list, unless it starts down.
   *
   * @param group one of its event loops is used
   * @param bind where to listen, a loopback address; port 0 for any
   * @throws IllegalArgumentException if an address is none of the loopback interface
   * @throws IllegalStateException if it cannot be listened on
   */
  public DiscoveryStandIn(EventLoopGroup group, InetSocketAddress bind, Options options) {
    this.loop = group.next();
    this.options = options;
    this.log = new ServerLog(options.logEntries());
    log.replace(options.firstVersion(), List.of());
    Capacity capacity = options.capacity();
    this.queue =
        capacity == null
            ? null
            : new DelayedResponseQueue(
                loop,
                capacity.queueLimit(),
                TimeUnit.MILLISECONDS.toNanos(capacity.queueMillis()),
                System::nanoTime);
    addresses.add(bind);
    addresses.addAll(options.alsoAt());
    for (InetSocketAddress each : addresses) {
      if (!each.getAddress().isLoopbackAddress()) {
        throw new IllegalArgumentException("not a loopback address: " + each);
      }
    }
    if (!options.startsDown()) {
      up();
    }
  }

  /** Where it listens first; the port stays the same over {@link #down} and {@link #up}. */
  public InetSocketAddress address() {
    return on(() -> addresses.get(0));
  }

  /** All addresses, the first and the further ones. */
  public List<InetSocketAddress> addresses() {
    return on(() -> List.copyOf(addresses));
  }

  /** Puts another list in place as a new version, which every agent gets whole. */
  public long replace(List<ServerEntry> entries) {
    return on(
        () -> {
          log.replace(log.version() + 1, entries);
          tellWatches();
          return log.version();
        });
  }

  /**
   * The same as of the version given: a new process goes on where the last ended, its log empty.
   */
  public long restore(long version, Collection<ServerEntry> entries) {
    return on(
        () -> {
          log.replace(version, entries);
          tellWatches();
          return version;
        });
  }

  /** Tells several changed entries as one new version, which is returned. */
  public long change(List<ServerEntry> entries) {
    return on(
        () -> {
          long version = log.change(entries);
          tellWatches();
          return version;
        });
  }

  /** The version of the list now. */
  public long version() {
    return on(log::version);
  }

  /** Dies: all connections are reset and new ones refused. The list and its versions are kept. */
  public void down() {
    on(
        () -> {
          for (Channel each : listeners) {
            each.close();
          }
          listeners.clear();
          reset();
          return null;
        });
  }

  /** Comes back at the same addresses. */
  public void up() {
    List<Channel> bindFuture = new ArrayList<>();
    for (InetSocketAddress each : List.copyOf(addresses)) {
      var binding = bootstrap().bind(each).awaitUninterruptibly();
      if (!binding.isSuccess()) {
        throw new IllegalStateException("cannot listen on " + each, binding.cause());
      }
      bindFuture.add(binding.channel());
    }
    on(
        () -> {
          listeners.addAll(bindFuture);
          addresses.clear();
          bindFuture.forEach(each -> addresses.add((InetSocketAddress) each.localAddress()));
          return null;
        });
  }

  /**
   * Is cut off: connections stay open and unresponsive, and nothing asked on old or new ones is
   * answered.
   */
  public void disconnect() {
    on(
        () -> {
          unresponsive = true;
          return null;
        });
  }

  /**
   * Can be reached again: connections from before are reset, as those of a machine that returns.
   */
  public void reachable() {
    on(
        () -> {
          unresponsive = false;
          reset();
          return null;
        });
  }

  /** What it has done so far. */
  public Counts counts() {
    return on(all::counts);
  }

  /** The same for each agent, by its name. */
  public Map<String, Counts> countsByAgent() {
    return on(
        () -> {
          Map<String, Counts> counts = new TreeMap<>();
          agents.forEach((agent, tally) -> counts.put(agent, tally.counts()));
          return counts;
        });
  }

  @Override
  public void close() {
    down();
    on(
        () -> {
          log.forget();
          return null;
        });
  }

  private <T> T on(Callable<T> task) {
    try {
      return loop.inEventLoop() ? task.call() : loop.submit(task).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                Caller caller = new Caller(ch);
                ch.pipeline()
                    .addLast(
                        caller.bytes(),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(CALL_BYTES_MAX),
                        caller);
              }
            });
  }

  private void reset() {
    if (queue != null) {
      queue.clear();
    }
    for (Caller each : List.copyOf(callers)) {
      each.channel.config().setOption(ChannelOption.SO_LINGER, 0);
      each.channel.close();
    }
  }

  private void tellWatches() {
    for (PendingWatch each : List.copyOf(watches)) {
      each.due();
    }
  }

  /** A call that waits until something newer than its version exists, or its time has passed. */
  private final class PendingWatch {
    private final Caller caller;
    private final long since;
    private final Future<?> end;

    PendingWatch(Caller caller, long since, long waitMs) {
      this.caller = caller;
      this.since = since;
      watches.add(this);
      caller.watch = this;
      caller.tally.watching++;
      all.watching++;
      end = loop.schedule(this::due, waitMs, TimeUnit.MILLISECONDS);
    }

    void due() {
      drop();
      caller.respond(since);
    }

    void drop() {
      end.cancel(false);
      if (watches.remove(this)) {
        caller.tally.watching--;
        all.watching--;
      }
      caller.watch = null;
    }
  }

  /** One connection of an agent. */
  private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final long FULL = -1;

    private final Channel channel;
    private final String agent;
    private final Counters tally;
    private PendingWatch watch;

    Caller(Channel channel) {
      this.channel = channel;
      InetSocketAddress from = (InetSocketAddress) channel.remoteAddress();
      InetSocketAddress to = (InetSocketAddress) channel.localAddress();
      String host = from.getAddress().getHostAddress();
      if (!host.equals(LOCAL)) {
        agent = host;
      } else if (!to.equals(addresses.get(0))) {
        agent = to.getAddress().getHostAddress();
      } else {
        agent = host + ":" + from.getPort();
      }
      tally = agents.computeIfAbsent(agent, each -> new Counters());
      tally.connections++;
      all.connections++;
      callers.add(this);
    }

    /** Counts what crosses the socket. */
    ChannelDuplexHandler bytes() {
      return new ChannelDuplexHandler() {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
          int bytes = ((ByteBuf) read).readableBytes();
          tally.bytesIn += bytes;
          all.bytesIn += bytes;
          ctx.fireChannelRead(read);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object written, ChannelPromise promise) {
          int bytes = ((ByteBuf) written).readableBytes();
          tally.bytesOut += bytes;
          all.bytesOut += bytes;
          ctx.write(written, promise);
        }
      };
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
      if (unresponsive) {
        return;
      }
      tally.calls++;
      all.calls++;
      if (watch != null) {
        ctx.close(); // one call at a time
        return;
      }
      accept(call);
    }

    private void accept(HttpRequest call) {
      QueryStringDecoder uri = new QueryStringDecoder(call.uri());
      if (!uri.path().equals("/v1/servers")) {
        send(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
        return;
      }
      long since;
      long waitMs;
      try {
        since = number(uri, "since", FULL);
        waitMs = Math.min(MAX_WAIT_MS, number(uri, "timeout_ms", 0));
      } catch (NumberFormatException e) {
        send(HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
        return;
      }
      if (since >= 0) {
        options.observer().has(agent, since, System.nanoTime());
      }
      if (since == log.version() && waitMs > 0) {
        new PendingWatch(this, since, waitMs);
      } else {
        respond(since);
      }
    }

    private long number(QueryStringDecoder uri, String name, long otherwise) {
      List<String> values = uri.parameters().get(name);
      return values == null ? otherwise : Long.parseLong(values.get(0));
    }

    /** Answers now, or when its turn comes. */
    void respond(long since) {
      if (queue == null) {
        give(owed(since));
        return;
      }
      queue.add(
          new DelayedResponseQueue.Call() {
            @Override
            public long costNanos() {
              Capacity capacity = options.capacity();
              return 1000 * capacity.callMicros() + capacity.lineNanos() * owed(since).lines();
            }

            @Override
            public void respond() {
              give(owed(since));
            }

            @Override
            public void refuse() {
              tally.refused++;
              all.refused++;
              send(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
            }
          });
    }

    private ServerLog.LoggedResponse owed(long since) {
      return since == FULL ? log.full() : log.since(since);
    }

    private void give(ServerLog.LoggedResponse response) {
      if (response.full()) {
        tally.wholes++;
        all.wholes++;
      } else if (response.lines() > 0) {
        tally.deltas++;
        all.deltas++;
      } else {
        tally.empties++;
        all.empties++;
      }
      send(HttpResponseStatus.OK, response.body().retainedDuplicate());
    }

    private void send(HttpResponseStatus status, ByteBuf body) {
      if (unresponsive || !channel.isActive()) {
        body.release();
        return;
      }
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
          .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      channel.writeAndFlush(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      callers.remove(this);
      if (watch != null) {
        watch.drop();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        System.err.println("discovery: " + cause); // its own fault must not look like the agent's
      }
      ctx.close();
    }
  }
}
