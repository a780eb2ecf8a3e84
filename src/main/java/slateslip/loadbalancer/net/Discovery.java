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
 * Follows the server list of the discovery service: fetches the whole list, unless a list is
 * already known, and then sends one watch request after another on one connection. Confined to the
 * agent's event loop.
 */
public final class Discovery {
  /** Receives server lists and failures, on the event loop. */
  public interface Listener {
    /** Called with each server list or change of the list. */
    void updateServers(ListKind kind, List<ListedEndpoint> endpoints);

    /**
     * Called after a failed call, with a one-line description. The next call is made after a
     * backoff, or when {@link #watch} is called if the load balancer schedules the calls.
     */
    void failed(String reason);
  }

  /**
   * An entry of the server list: the server in the load balancer's terms, its name and its address.
   */
  public record ListedEndpoint(Server server, String name, InetSocketAddress address) {}

  /** A decoded response of the discovery service. */
  public record Listing(long index, boolean snapshot, List<ListedEndpoint> endpoints) {}

  /**
   * How long the discovery service may hold a watch request until there is a change. The protocol
   * regards an agent as informed of a change 6 s after the change, even if a watch was
   * unresponsive. The sum of this timeout, {@link #INACTIVITY_TIMEOUT_MS} and the load balancer's
   * delay after a rejected call must not exceed those 6 s.
   */
  static final long WATCH_TIMEOUT_MS = 3_000;

  /** The timeout of a call for the whole list. */
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  /** How long after {@link #WATCH_TIMEOUT_MS} a watch counts as timed out. */
  static final long INACTIVITY_TIMEOUT_MS = 500;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1_000;

  /**
   * The delay after a watch response without changes. Without it a discovery service that responds
   * immediately would be flooded with requests.
   */
  private static final long EMPTY_RESPONSE_DELAY_MS = 20;

  private static final int LIST_BYTES_MAX = 4 << 20;

  private final EventLoop loop;
  private AgentConfig config;
  private final Listener listener;
  private final Bootstrap bootstrap;
  private InetSocketAddress address;
  private Channel channel;

  /** The version of the current list; negative while the whole list is needed. */
  private long index = -1;

  private boolean watching;
  private boolean closed;

  /**
   * Whether the address of discovery has changed and no list has arrived from the new address yet.
   */
  private boolean awaitingListAfterMove;

  /** The number of the current call. Events that belong to an earlier call are ignored. */
  private int currentCall;

  private Future<?> timeout;
  private final Backoff backoff;

  /** Creates a client that sends no requests until {@link #watch} or {@link #fetch} is called. */
  public Discovery(EventLoop loop, AgentConfig config, Listener listener) {
    this(loop, config, listener, NioSocketChannel::new);
  }

  /** Creates a client with sockets from the given factory, for tests. */
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
   * Sets the list that the agent already has, so that the first call is a watch for changes since
   * that list. Otherwise each agent would make two calls; the calls of agents that start together
   * would fill the queue of the discovery service, which rejects most of them.
   */
  public void setKnownList(Listing known) {
    index = known.endpoints().isEmpty() ? -1 : known.index();
  }

  /**
   * Decodes further lists with another configuration; {@link #moveTo} changes the address of
   * discovery.
   */
  public void apply(AgentConfig next) {
    config = next;
  }

  /**
   * Starts to follow the list, or continues after a failure if the load balancer schedules the
   * calls. Does nothing while a call is scheduled or in flight.
   */
  public void watch() {
    if (!watching) {
      watching = true;
      scheduleCall(0);
    }
  }

  /** Fetches the whole list now, in place of the current call. */
  public void fetch() {
    index = -1;
    watching = true;
    abandonCall();
    scheduleCall(0);
  }

  /**
   * Follows the list at another address. The versions of the old address are not valid there, so
   * the whole list is fetched first; the old list stays in use until the new one arrives.
   */
  public void moveTo(InetSocketAddress to) {
    if (!closed && !to.equals(address)) {
      address = to;
      backoff.reset();
      awaitingListAfterMove = true;
      fetch();
    }
  }

  /** Abandons the current call and makes no further calls. */
  public void close() {
    closed = true;
    abandonCall();
  }

  private void abandonCall() {
    currentCall++;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  private void scheduleCall(long delayMs) {
    int callNumber = ++currentCall;
    loop.schedule(
        () -> {
          if (callNumber == currentCall && !closed) {
            startCall(callNumber);
          }
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  private void startCall(int callNumber) {
    timeout =
        index < 0
            ? loop.schedule(
                () -> failed(callNumber, "no response"), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            : loop.schedule(
                () -> watchTimedOut(callNumber),
                WATCH_TIMEOUT_MS + INACTIVITY_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    if (channel != null && channel.isActive()) {
      sendRequest(callNumber);
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (InspectableSocketChannel.failedToOpenSocket(connecting)) {
      channel = null;
      failed(callNumber, "no socket");
      return;
    }
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (callNumber == currentCall && done.isSuccess()) {
            sendRequest(callNumber);
          } else if (callNumber == currentCall) {
            failed(callNumber, "cannot connect");
          }
        });
  }

  private void sendRequest(int callNumber) {
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
                failed(callNumber, "connection broken");
              }
            });
  }

  /**
   * Restarts a watch that has timed out, on another connection and without delay. With the delay
   * that follows a failed call, the agent would use an outdated list for too long.
   */
  private void watchTimedOut(int callNumber) {
    if (callNumber == currentCall && !closed) {
      Agent.logLine("discovery: a watch fell silent and is opened anew");
      abandonCall();
      scheduleCall(0);
    }
  }

  private void failed(int callNumber, String reason) {
    if (callNumber != currentCall || closed) {
      return;
    }
    abandonCall();
    // After a move the protocol regards the agent as informed 4 s later. With the load balancer's
    // delays, two failed calls to the new address would take longer than that, so the shorter
    // backoff of this class applies.
    if (config.settings().pollDiscovery() && !awaitingListAfterMove) {
      watching = false; // The load balancer decides when to call again.
    } else {
      scheduleCall(backoff.next());
    }
    if (awaitingListAfterMove) {
      Agent.logLine("discovery: after the move: " + reason);
    } else {
      listener.failed(reason);
    }
  }

  private void handleResponse(FullHttpResponse response) {
    timeout.cancel(false);
    if (response.decoderResult().isFailure() || response.status().code() != 200) {
      failed(currentCall, "response status " + response.status().code());
      return;
    }
    Listing listing;
    try (InputStream body = new ByteBufInputStream(response.content())) {
      listing = decode(AgentConfig.json(body), config);
    } catch (IOException | IllegalArgumentException e) {
      // The old list stays in use, and the whole list is fetched because the changes in the
      // unusable response are unknown.
      index = -1;
      failed(
          currentCall,
          "unusable list: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
      return;
    }
    if (!listing.snapshot() && listing.index() < index) {
      // The service has restarted its version numbers. Changes relative to its new versions do not
      // apply to the current list, so changes would be missed permanently.
      Agent.logLine(
          "discovery: versions restart at " + listing.index() + ", fetching the whole list");
      fetch();
      return;
    }
    index = listing.index();
    awaitingListAfterMove = false;
    backoff.reset();
    // A response without a length ends with its connection.
    if (!HttpUtil.isKeepAlive(response) || !channel.isActive()) {
      abandonCall();
    }
    boolean update = listing.snapshot() || !listing.endpoints().isEmpty();
    scheduleCall(update ? 0 : EMPTY_RESPONSE_DELAY_MS);
    if (update) {
      listener.updateServers(
          listing.snapshot() ? ListKind.FULL : ListKind.DELTA, listing.endpoints());
    }
  }

  /**
   * Decodes a server list. Throws IllegalArgumentException if the list or any of its entries is
   * invalid.
   */
  public static Listing decode(JsonNode root, AgentConfig config) {
    if (root == null
        || !root.path("endpoints").isArray()
        || !root.path("index").canConvertToLong()) {
      throw new IllegalArgumentException("endpoints or index is missing");
    }
    List<ListedEndpoint> endpoints = new ArrayList<>();
    for (JsonNode entry : root.get("endpoints")) {
      String name = entry.path("name").asText();
      int zone = config.zones().indexOf(entry.path("zone").asText());
      if (name.isEmpty() || zone < 0) {
        throw new IllegalArgumentException(
            "server without a name or with an unknown zone: " + entry);
      }
      Phase phase =
          switch (entry.path("status").asText()) {
            case "Ready" -> Phase.READY;
            case "Terminating" -> Phase.DRAINING;
            case "Gone" -> Phase.GONE;
            default ->
                throw new IllegalArgumentException("server with an unknown status: " + entry);
          };
      endpoints.add(
          new ListedEndpoint(
              new Server(
                  stableId(name),
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
   * Returns a number for a name or key that is the same on every agent, as the hashing of the load
   * balancer requires, and never 0.
   */
  public static long stableId(String name) {
    long id =
        UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    return id == 0 ? 1 : id;
  }

  /** Passes on the events of the current connection and ignores those of earlier connections. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      if (ctx.channel() == channel) {
        handleResponse(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        failed(currentCall, "connection closed");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel() == channel) {
        // Without this call a response that is too long, or too large for the heap, would be
        // reported as a closed connection.
        failed(
            currentCall,
            "connection error: " + String.valueOf(cause).lines().findFirst().orElse(""));
      }
      ctx.close();
    }
  }
}
