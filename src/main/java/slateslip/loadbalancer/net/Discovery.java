package slateslip.loadbalancer.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;

/**
 * Follows the server list: the whole list once, unless one is known already, then one watch after
 * the other on one connection. All of it runs on the agent's event loop.
 */
public final class Discovery {
  /** What the agent hears. */
  public interface Listener {
    /** A list has come. */
    void updateServers(ListKind kind, List<ListedEndpoint> endpoints);

    /** A call has failed; the next is made after the back-off, or when asked for. */
    void failed(String why);
  }

  /**
   * A server as discovery lists it: its line for the module, its name, and where this agent reaches
   * it.
   */
  public record ListedEndpoint(Server server, String name, InetSocketAddress address) {}

  /** A decoded answer. */
  public record Listing(long index, boolean snapshot, List<ListedEndpoint> endpoints) {}

  /**
   * How long a watch waits for news. A change that an unresponsive one misses counts as told 6 s
   * after it: this, with the time to find out and the module's wait if the next call is refused,
   * has to fit into that.
   */
  static final long WATCH_TIMEOUT_MS = 3_000;

  /** How long a call for the whole list may take. */
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  /** How much longer than its wait a watch may take before it has timed out. */
  static final long INACTIVITY_TIMEOUT_MS = 500;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1_000;

  /**
   * Before the next watch when one brought nothing: discovery may answer at once, and would be
   * flooded.
   */
  private static final long EMPTY_RESPONSE_DELAY_MS = 20;

  private static final int LIST_BYTES_MAX = 4 << 20;

  private final EventLoop loop;
  private AgentConfig config;
  private final Listener listener;
  private final Bootstrap bootstrap;
  private InetSocketAddress address;
  private Channel channel;

  /** The version last had; negative while the whole list is needed. */
  private long index = -1;

  private boolean watching;
  private boolean closed;

  /** It has moved, and no list has come from there yet. */
  private boolean moved;

  /** Numbers the calls: what belongs to an earlier one is disregarded. */
  private int call;

  private Future<?> timeout;
  private final Backoff backoff;

  /** A client of discovery that asks nothing yet. */
  public Discovery(EventLoop loop, AgentConfig config, Listener listener) {
    this(loop, config, listener, NioSocketChannel::new);
  }

  /** With sockets that come from elsewhere than the usual ones. */
  Discovery(
      EventLoop loop,
      AgentConfig config,
      Listener listener,
      ChannelFactory<NioSocketChannel> sockets) {
    this.loop = loop;
    this.config = config;
    this.address = config.discovery();
    this.listener = listener;
    this.backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, config.seed());
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(sockets)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) RESPONSE_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    ch.pipeline()
                        .addLast(
                            new StrictHttpDecoders.Responses(),
                            new HttpRequestEncoder(),
                            new HttpObjectAggregator(LIST_BYTES_MAX),
                            new ResponseHandler());
                  }
                });
  }

  /**
   * Tells which list is held, so that the first call is a watch for what is newer. Guards against
   * two calls of each agent where one will do: those of agents that start together fill discovery's
   * queue, and most are rejected.
   */
  public void holds(Listing known) {
    index = known.endpoints().isEmpty() ? -1 : known.index();
  }

  /**
   * Reads lists by another configuration from now on; {@link #moveTo} says where they come from.
   */
  public void apply(AgentConfig next) {
    config = next;
  }

  /** Begins to follow the list, or goes on after a failure where that is asked for. */
  public void watch() {
    if (!watching) {
      watching = true;
      next(0);
    }
  }

  /** Gets the whole list with the next call, which is made now. */
  public void fetch() {
    index = -1;
    watching = true;
    drop();
    next(0);
  }

  /**
   * Follows the list at another address from now on. Its versions mean nothing there, so the whole
   * list comes first; until it has come the old one stays.
   */
  public void moveTo(InetSocketAddress to) {
    if (!closed && !to.equals(address)) {
      address = to;
      backoff.reset();
      moved = true;
      fetch();
    }
  }

  /** Ends the call that is out, and makes no other. */
  public void close() {
    closed = true;
    drop();
  }

  private void drop() {
    call++;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  private void next(long delayMs) {
    int mine = ++call;
    loop.schedule(
        () -> {
          if (mine == call && !closed) {
            ask(mine);
          }
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  private void ask(int mine) {
    timeout =
        index < 0
            ? loop.schedule(
                () -> failed(mine, "no answer"), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            : loop.schedule(
                () -> inactive(mine),
                WATCH_TIMEOUT_MS + INACTIVITY_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    if (channel != null && channel.isActive()) {
      write(mine);
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (InspectableSocketChannel.noSocket(connecting)) {
      channel = null;
      failed(mine, "no socket");
      return;
    }
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (mine == call && done.isSuccess()) {
            write(mine);
          } else if (mine == call) {
            failed(mine, "no connection");
          }
        });
  }

  private void write(int mine) {
    String uri =
        index < 0
            ? "/v1/servers"
            : "/v1/servers?since=" + index + "&timeout_ms=" + WATCH_TIMEOUT_MS;
    var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    request.headers().set(HttpHeaderNames.HOST, "discovery");
    channel
        .writeAndFlush(request)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                failed(mine, "connection broken");
              }
            });
  }

  /**
   * A watch has timed out: it is opened anew on another connection, at once and without asking
   * when. Guards against the wait after a failed call, which would leave the agent with an old list
   * for too long.
   */
  private void inactive(int mine) {
    if (mine == call && !closed) {
      Agent.say("discovery: a watch fell silent and is opened anew");
      drop();
      next(0);
    }
  }

  private void failed(int mine, String why) {
    if (mine != call || closed) {
      return;
    }
    drop();
    // Guards against an old list for too long: after a move what is new counts as told 4 s later,
    // and two
    // calls that fail there would cost more than that with the module's waits.
    if (config.settings().pollDiscovery() && !moved) {
      watching = false; // the module decides when to ask again
    } else {
      next(backoff.next());
    }
    if (moved) {
      Agent.say("discovery: after the move: " + why);
    } else {
      listener.failed(why);
    }
  }

  private void responded(FullHttpResponse response) {
    timeout.cancel(false);
    if (response.decoderResult().isFailure() || response.status().code() != 200) {
      failed(call, "answer " + response.status().code());
      return;
    }
    Listing listing;
    try (InputStream body = new ByteBufInputStream(response.content())) {
      listing = decode(AgentConfig.json(body), config);
    } catch (IOException | IllegalArgumentException e) {
      // Guards against a list that cannot be read: the old one stays, and the whole is asked for,
      // since
      // what the lost one changed is unknown.
      index = -1;
      failed(
          call, "unusable list: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
      return;
    }
    if (!listing.snapshot() && listing.index() < index) {
      // Guards against changes that are missed for ever: the versions count anew, and what has
      // changed
      // since this one says nothing of the list that is held.
      Agent.say(
          "discovery: versions begin anew at " + listing.index() + ", the whole list is fetched");
      fetch();
      return;
    }
    index = listing.index();
    moved = false;
    backoff.reset();
    if (!HttpUtil.isKeepAlive(response) || !channel.isActive()) { // its end may have ended the list
      drop();
    }
    boolean update = listing.snapshot() || !listing.endpoints().isEmpty();
    next(update ? 0 : EMPTY_RESPONSE_DELAY_MS);
    if (update) {
      listener.updateServers(
          listing.snapshot() ? ListKind.FULL : ListKind.DELTA, listing.endpoints());
    }
  }

  /** Decodes a list; an entry that makes no sense makes the whole unusable. */
  public static Listing decode(JsonNode root, AgentConfig config) {
    if (root == null
        || !root.path("endpoints").isArray()
        || !root.path("index").canConvertToLong()) {
      throw new IllegalArgumentException("no list of servers");
    }
    List<ListedEndpoint> endpoints = new ArrayList<>();
    for (JsonNode entry : root.get("endpoints")) {
      String name = entry.path("name").asText();
      int zone = config.zones().indexOf(entry.path("zone").asText());
      if (name.isEmpty() || zone < 0) {
        throw new IllegalArgumentException("name or zone of a server: " + entry);
      }
      Phase phase =
          switch (entry.path("status").asText()) {
            case "Ready" -> Phase.READY;
            case "Terminating" -> Phase.DRAINING;
            case "Gone" -> Phase.GONE;
            default -> throw new IllegalArgumentException("status of a server: " + entry);
          };
      endpoints.add(
          new ListedEndpoint(
              new Server(
                  id(name),
                  zone,
                  entry.path("group").asInt(),
                  config.kinds().indexOf(entry.path("type").asText()),
                  phase,
                  entry.path("weight").asDouble(1),
                  1000 * entry.path("since_ms").asLong()),
              name,
              AgentConfig.address(entry.path("address").asText())));
    }
    return new Listing(root.get("index").asLong(), root.path("snapshot").asBoolean(), endpoints);
  }

  /**
   * A number for a name or key: the same at every agent, as the module's hashing needs, and never
   * 0.
   */
  public static long id(String name) {
    long id =
        UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    return id == 0 ? 1 : id;
  }

  /** Hands on what arrives on the connection in use. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      if (ctx.channel() == channel) {
        responded(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        failed(call, "connection closed");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel() == channel) {
        // Else a list that is too long, or too much for the heap, passes for a closed connection.
        failed(call, "broken: " + String.valueOf(cause).lines().findFirst().orElse(""));
      }
      ctx.close();
    }
  }
}
