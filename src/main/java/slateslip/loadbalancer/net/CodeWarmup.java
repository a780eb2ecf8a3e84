package slateslip.loadbalancer.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import slateslip.loadbalancer.DefaultLoadBalancer;
import slateslip.loadbalancer.LoadBalancer;

/**
 * Exercises the code path of a request before the agent reports that it is ready: a separate load
 * balancer instance makes decisions, and the requests that it sends go over sockets to the agent's
 * own health check. Without the warm-up the code of the first requests is neither loaded nor
 * compiled, which on a fraction of a core takes longer than clients wait.
 */
final class CodeWarmup implements LoadBalancer.Actions {
  /**
   * The number of warm-up requests. They suffice for the compiler to compile the path of a request,
   * because the command line of the process lowers the compile thresholds to a fifth. With fewer
   * requests the agent is ready sooner but loses its first seconds to the compiler: with 150 the
   * compiler used the agent's whole share of a core during three seconds of service.
   */
  private static final int REQUESTS = 400;

  private static final int CONCURRENCY = 4;

  /**
   * One in this many requests closes its connection, so that the code that connects and accepts is
   * compiled as well.
   */
  private static final int CLOSE_EVERY = 4;

  /**
   * The number of simulated servers. The load balancer chooses among them, and among {@link #KEYS}
   * affinity keys, so that the selection is compiled under realistic input.
   */
  private static final int SERVERS = 12;

  private static final int KEYS = 40;

  /** The maximum duration of the warm-up, however slow the machine is. */
  private static final long MAX_DURATION_MS = 3_000;

  /**
   * The server id of the agent itself. {@link Discovery#stableId} never returns 0, so no listed
   * server has this id.
   */
  private static final long SELF = 0;

  private final EventLoop loop;
  private final AgentConfig config;
  private final BackendConnections backends;
  private final ClientServer clients;
  private final IntConsumer onDone;
  private final LoadBalancer balancer;
  private final OutgoingRequest keepAliveRequest;
  private final OutgoingRequest closingRequest;
  private int started;
  private int inFlight;
  private int responses;
  private boolean finished;

  private CodeWarmup(
      EventLoop loop,
      AgentConfig config,
      BackendConnections backends,
      ClientServer clients,
      IntConsumer onDone) {
    this.loop = loop;
    this.config = config;
    this.backends = backends;
    this.clients = clients;
    this.onDone = onDone;
    this.balancer = new DefaultLoadBalancer(config.settings(), config.seed(), micros(), this);
    this.keepAliveRequest =
        new OutgoingRequest(
            HttpMethod.GET,
            "/healthz",
            exampleRequest().headers().remove("Request-Id"),
            BackendConnections.NO_BODY);
    this.closingRequest =
        new OutgoingRequest(
            HttpMethod.GET,
            "/healthz",
            keepAliveRequest.headers().copy().set("Connection", "close"),
            BackendConnections.NO_BODY);
  }

  /**
   * Runs the warm-up on the event loop. Calls {@code onDone} on the loop with the number of
   * answered requests.
   */
  static void run(
      EventLoop loop,
      AgentConfig config,
      BackendConnections backends,
      ClientServer clients,
      IntConsumer onDone) {
    new CodeWarmup(loop, config, backends, clients, onDone).start();
  }

  private void start() {
    loop.schedule(this::finish, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
    List<LoadBalancer.Server> servers = new ArrayList<>();
    // The load balancer sees several servers, all of which are the agent itself.
    for (int i = 1; i <= SERVERS; i++) {
      int zone = i % config.settings().zones();
      servers.add(new LoadBalancer.Server(i, zone, 0, 0, LoadBalancer.Phase.READY, 1, 0));
    }
    InetSocketAddress ownAddress = (InetSocketAddress) clients.channel().localAddress();
    backends.addSelf(SELF, ownAddress);
    balancer.servers(micros(), LoadBalancer.ListKind.FULL, servers);
    sendNext();
  }

  private void sendNext() {
    while (!finished && inFlight < CONCURRENCY && started < REQUESTS) {
      started++;
      inFlight++;
      clients.parse(exampleRequest());
      long now = micros();
      balancer.request(
          now,
          new LoadBalancer.Request(
              started,
              started % config.classes().size(),
              0,
              started % KEYS,
              1,
              now + 1_000_000,
              false,
              false));
    }
    if (inFlight == 0) {
      finish();
    }
  }

  private void finish() {
    if (!finished) {
      finished = true;
      backends.remove(SELF);
      onDone.accept(responses);
    }
  }

  private void requestDone() {
    inFlight--;
    loop.execute(this::sendNext); // The load balancer does not permit nested calls.
  }

  /** Creates a request of the first class, as clients send requests. */
  private HttpRequest exampleRequest() {
    boolean safe = config.settings().classes().get(0).semantics() == LoadBalancer.Semantics.SAFE;
    HttpRequest request =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1,
            safe ? HttpMethod.GET : HttpMethod.POST,
            "/" + config.classes().get(0));
    HttpHeaders headers = request.headers();
    headers
        .set("Host", "self")
        .set("Request-Id", "warm")
        .set("Request-Class", config.classes().get(0))
        .set("Work-Hint", "1000")
        .set(BackendConnections.REQUEST_TIMEOUT, "1000");
    if (!config.tenants().isEmpty()) {
      headers.set("Tenant", config.tenants().get(0));
    }
    return request;
  }

  private static long micros() {
    return System.nanoTime() / 1000;
  }

  @Override
  public void send(long request, long server, long timeout) {
    long sentAt = micros();
    backends.send(
        SELF,
        request % CLOSE_EVERY == 0 ? closingRequest : keepAliveRequest,
        timeout,
        result -> {
          // The health check answers 503, because the agent is not ready yet.
          responses += result.outcome() == LoadBalancer.Outcome.ERROR ? 1 : 0;
          long now = micros();
          balancer.outcome(
              now, request, 0, server, LoadBalancer.Outcome.OK, now - sentAt, true, result.load());
          requestDone();
        });
  }

  @Override
  public void refuse(long request, long retryAfter) {
    requestDone();
  }

  @Override
  public void fail(long request) {
    requestDone();
  }

  @Override
  public void timer(long token, long delay) {
    loop.schedule(
        () -> {
          if (!finished) {
            balancer.timer(micros(), token);
          }
        },
        delay,
        TimeUnit.MICROSECONDS);
  }

  @Override
  public void cancel(long request, int attempt) {}

  @Override
  public void probe(long server) {}

  @Override
  public void sendToPeers(int agent, byte[] message) {}

  @Override
  public void closeIdle(long server) {}

  @Override
  public void watchServers() {}

  @Override
  public void fetchServers() {}

  @Override
  public void log(String line) {}
}
