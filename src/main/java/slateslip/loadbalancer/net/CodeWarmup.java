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
 * Runs what a request runs through before the agent says that it is ready: a module of its own
 * decides, and what it sends goes over sockets to the agent's own health check. Guards against
 * serving the first seconds with code neither loaded nor compiled, which on a part of a core takes
 * longer than clients wait.
 */
final class CodeWarmup implements LoadBalancer.Actions {
  /**
   * Enough for the compiler to take up what each request passes: the run's line has it do so after
   * a fifth of the usual calls. Danger: with fewer the agent is ready sooner and loses its first
   * seconds to the compiler: with 150 it took all of the agent's share of a core for three seconds
   * of service.
   */
  private static final int REQUESTS = 400;

  private static final int CONCURRENCY = 4;

  /** Every so many a request ends its connection: what dials and accepts is to be compiled, too. */
  private static final int CLOSE_EVERY = 4;

  /** Servers and keys that the module chooses by, so that the choice is compiled as it is used. */
  private static final int SERVERS = 12;

  private static final int KEYS = 40;

  /** However slow the machine is, it begins to serve after this. */
  private static final long MAX_DURATION_MS = 3_000;

  /** No listed server has this id. */
  private static final long SELF = 0;

  private final EventLoop loop;
  private final AgentConfig config;
  private final BackendConnections backends;
  private final ClientServer clients;
  private final IntConsumer then;
  private final LoadBalancer module;
  private final OutgoingRequest keepAliveRequest;
  private final OutgoingRequest closingRequest;
  private int started;
  private int inFlight;
  private int responses;
  private boolean over;

  private CodeWarmup(
      EventLoop loop,
      AgentConfig config,
      BackendConnections backends,
      ClientServer clients,
      IntConsumer then) {
    this.loop = loop;
    this.config = config;
    this.backends = backends;
    this.clients = clients;
    this.then = then;
    this.module = new DefaultLoadBalancer(config.settings(), config.seed(), micros(), this);
    this.keepAliveRequest =
        new OutgoingRequest(
            HttpMethod.GET,
            "/healthz",
            example().headers().remove("Request-Id"),
            BackendConnections.NO_BODY);
    this.closingRequest =
        new OutgoingRequest(
            HttpMethod.GET,
            "/healthz",
            keepAliveRequest.headers().copy().set("Connection", "close"),
            BackendConnections.NO_BODY);
  }

  /** Warms up on the loop and tells there, when that is over, how many requests were answered. */
  static void run(
      EventLoop loop,
      AgentConfig config,
      BackendConnections backends,
      ClientServer clients,
      IntConsumer then) {
    new CodeWarmup(loop, config, backends, clients, then).start();
  }

  private void start() {
    loop.schedule(this::end, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
    List<LoadBalancer.Server> servers = new ArrayList<>();
    for (int i = 1;
        i <= SERVERS;
        i++) { // to the module they are many; all lead to the agent itself
      int zone = i % config.settings().zones();
      servers.add(new LoadBalancer.Server(i, zone, 0, 0, LoadBalancer.Phase.READY, 1, 0));
    }
    InetSocketAddress own = (InetSocketAddress) clients.channel().localAddress();
    backends.addSelf(SELF, own);
    module.servers(micros(), LoadBalancer.ListKind.FULL, servers);
    next();
  }

  private void next() {
    while (!over && inFlight < CONCURRENCY && started < REQUESTS) {
      started++;
      inFlight++;
      clients.parse(example());
      long now = micros();
      module.request(
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
      end();
    }
  }

  private void end() {
    if (!over) {
      over = true;
      backends.remove(SELF);
      then.accept(responses);
    }
  }

  private void done() {
    inFlight--;
    loop.execute(this::next); // not from within the module
  }

  /** A request of the first class, as clients send it. */
  private HttpRequest example() {
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
          responses +=
              result.outcome() == LoadBalancer.Outcome.ERROR
                  ? 1
                  : 0; // it says that it is not ready
          long now = micros();
          module.outcome(
              now, request, 0, server, LoadBalancer.Outcome.OK, now - sentAt, true, result.load());
          done();
        });
  }

  @Override
  public void refuse(long request, long retryAfter) {
    done();
  }

  @Override
  public void fail(long request) {
    done();
  }

  @Override
  public void timer(long token, long delay) {
    loop.schedule(
        () -> {
          if (!over) {
            module.timer(micros(), token);
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
