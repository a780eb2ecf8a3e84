package slateslip.loadbalancer.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slateslip.loadbalancer.DefaultLoadBalancer;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.SettingsReload;

/**
 * Hosts the decision module on real sockets: the one place where events enter it, and where its
 * actions become bytes. One event loop thread owns the sockets, the timers and the module.
 */
public final class Agent implements LoadBalancer.Actions {
  /** Of the client's time, what the response's way back and a late wake-up may take. */
  private static final long MARGIN_MICROS = 10_000;

  /** Of that, what the module has before the guard takes its last moment for a fault. */
  private static final long GUARD_MICROS = 5_000;

  /** Descriptors kept back for the program's own files, discovery and the listener. */
  private static final int SOCKETS_RESERVED = 40;

  /** When a client that is refused should come back, where the module does not say: in a moment. */
  static final long RETRY_AFTER_MICROS = 250_000;

  private static final long QUIET_MS = 50;
  private static final long GROUP_TIMEOUT_MS = 500;

  /** How long the first list is waited for before the known one has to do. */
  private static final long FIRST_LIST_MS = 1_000;

  private static final Pattern SERVER = Pattern.compile("^server (-?\\d+)");

  private AgentConfig config;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private LoadBalancer balancer;
  private final BackendConnections backends;
  private final Discovery discovery;
  private final ClientServer clients;
  private final RequestStatistics statistics = new RequestStatistics();
  private final Map<Long, Pending> pendingById = new HashMap<>();
  private final Map<ClientExchange, Pending> byExchange = new HashMap<>();

  /** The same by the ids that clients gave. */
  private final Map<String, Pending> byName = new HashMap<>();

  /** The lines of the servers listed. */
  private final Map<Long, Discovery.ListedEndpoint> servers = new HashMap<>();

  private final LiveSettings live = new LiveSettings();
  private final ConfigFileWatcher file;

  /**
   * The list of the configuration: what is held until discovery answers; null once the module has
   * it.
   */
  private Discovery.Listing known;

  /** The monotonic clock is anchored once to the time of day, in which the list tells starts. */
  private final long anchorMicros = 1000 * System.currentTimeMillis() - System.nanoTime() / 1000;

  private final AgentShutdown shutdown;
  private long nextId = 1;
  private boolean watchRequested;
  private boolean deciding;

  /**
   * Whether a list has come, or has been waited for long enough; and whether the path has been run.
   */
  private boolean listed;

  private boolean warm;
  private int warmedBy;

  /** A request taken and not yet done with. */
  private static final class Pending {
    final long id;

    /** As the settings in force had it when the module was told. */
    IncomingRequest request;

    final ClientExchange exchange;
    final long cameAt;
    final List<BackendAttempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    boolean completed;
    Future<?> guard;

    Pending(long id, IncomingRequest request, ClientExchange exchange, long cameAt) {
      this.id = id;
      this.cameAt = cameAt;
      this.request = request;
      this.exchange = exchange;
    }
  }

  private Agent(Path path, AgentConfig config, Function<Agent, LoadBalancer> module)
      throws IOException {
    this.config = config;
    this.file = new ConfigFileWatcher(path, config.live() != null, this::configRead);
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    backends = new BackendConnections(loop, config, maxConnections(config), statistics);
    discovery =
        new Discovery(
            loop,
            config,
            new Discovery.Listener() {
              @Override
              public void updateServers(
                  LoadBalancer.ListKind kind, List<Discovery.ListedEndpoint> endpoints) {
                listed = true;
                Agent.this.updateServers(kind, endpoints);
              }

              @Override
              public void failed(String why) {
                log("discovery: " + why);
                if (Agent.this.config.settings().pollDiscovery()) {
                  event(
                      () ->
                          Agent.this.balancer.servers(
                              now(), LoadBalancer.ListKind.FAILED, List.of()));
                }
              }
            });
    known = known(config);
    if (config.settings().pollDiscovery()) {
      discovery.holds(known);
    }
    // After discovery, which the module may ask at once; and on the loop, where a timer that it
    // sets at
    // once would find no module otherwise.
    loop.submit(() -> balancer = module.apply(this)).syncUninterruptibly();
    var listener =
        new ClientServer.Listener() {
          @Override
          public void request(IncomingRequest request, ClientExchange exchange) {
            Agent.this.request(request, exchange);
          }

          @Override
          public void clientLeft(ClientExchange exchange) {
            Agent.this.clientLeft(exchange);
          }
        };
    clients =
        new ClientServer(
            loop, config, maxConnections(config), () -> listed && warm, listener, System::nanoTime);
    shutdown =
        new AgentShutdown(
            loop,
            clients,
            this::longestTimeoutMillis,
            pendingById::size,
            this::timeOutAll,
            this::close);
  }

  /** Connections on either side. */
  private static int maxConnections(AgentConfig config) {
    return (config.sockets() - SOCKETS_RESERVED) / 2;
  }

  /**
   * Starts an agent; it listens when this returns.
   *
   * @param config its configuration file
   * @return the running agent
   * @throws IllegalArgumentException if the configuration is unusable; the message is one plain
   *     line
   * @throws IOException if the address cannot be listened on
   */
  public static Agent start(Path config) throws IOException {
    return start(config, AgentConfig.read(config));
  }

  static Agent start(AgentConfig config) throws IOException {
    return start((Path) null, config);
  }

  private static Agent start(Path file, AgentConfig config) throws IOException {
    return start(
        file,
        config,
        agent -> new DefaultLoadBalancer(config.settings(), config.seed(), agent.now(), agent));
  }

  /** With another module than the usual one. */
  static Agent start(AgentConfig config, Function<Agent, LoadBalancer> module) throws IOException {
    return start(null, config, module);
  }

  private static Agent start(Path file, AgentConfig config, Function<Agent, LoadBalancer> module)
      throws IOException {
    Agent agent = new Agent(file, config, module);
    agent.beginSoon();
    InetSocketAddress at = agent.address();
    say("listening on " + at.getAddress().getHostAddress() + ":" + at.getPort());
    return agent;
  }

  /** One that has not begun: it listens, and has no list yet. */
  static Agent made(AgentConfig config, Function<Agent, LoadBalancer> module) throws IOException {
    return new Agent(null, config, module);
  }

  void beginSoon() {
    loop.execute(this::begin);
  }

  private static Discovery.Listing known(AgentConfig config) {
    try {
      return Discovery.decode(config.known(), config);
    } catch (IllegalArgumentException e) {
      say("known list: " + e.getMessage());
      return new Discovery.Listing(0, true, List.of());
    }
  }

  private void begin() {
    apply(
        config
            .withoutKnown()); // before the module makes its own of it: both at once may be too much
    List<Discovery.ListedEndpoint> cached = known.endpoints();
    known = null;
    updateServers(LoadBalancer.ListKind.CACHED, cached);
    watchRequested |= !config.settings().pollDiscovery();
    watchWhenStarted();
    loop.schedule(() -> listed = true, FIRST_LIST_MS, TimeUnit.MILLISECONDS);
    CodeWarmup.run(
        loop,
        config,
        backends,
        clients,
        completed -> {
          statistics.take(0, 0); // its own requests are nobody's
          loop.scheduleAtFixedRate(
              this::tell,
              RequestStatistics.PERIOD_SECONDS,
              RequestStatistics.PERIOD_SECONDS,
              TimeUnit.SECONDS);
          warm = true;
          warmedBy = completed;
          if (config.live() != null) {
            say(LiveSettings.started(config));
            statistics.settings(live.summary(config));
            file.pollEvery(config.live().checkMs());
          }
        });
  }

  private void tell() {
    statistics.take(pendingById.size(), backends.connections()).forEach(Agent::say);
  }

  /** Where it listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) clients.channel().localAddress();
  }

  /**
   * Takes over from the file what may change under way: where discovery is, and where settings have
   * versions also those. Requests go on undisturbed, and a file that cannot be used changes
   * nothing. The file is read on the calling thread, or once more by the thread that reads it now.
   *
   * @param from the configuration file
   */
  public void reload(Path from) {
    file.read(from);
  }

  /** The file has been read, on the thread that did so. */
  private void configRead(ConfigFileWatcher.ReadResult readResult) {
    try {
      loop.execute(() -> reloadConfig(readResult));
    } catch (RejectedExecutionException e) {
      if (readResult.requested()) {
        say("reload: not taken, the agent has ended"); // a signal may come at any time of the end
      }
    }
  }

  /**
   * Discovery moves whatever the settings beside it are worth: an agent that loses discovery loses
   * its list, which is worse than late settings. These are taken whole or not at all.
   */
  private void reloadConfig(ConfigFileWatcher.ReadResult readResult) {
    if (readResult.discovery() != null) {
      discovery.moveTo(readResult.discovery());
    }
    if (config.live() == null) {
      if (readResult.unusable() != null) {
        say("reload: the old settings stay: " + readResult.unusable());
      }
      return;
    }
    event(
        () -> {
          if (live.shouldApply(config, readResult)) {
            applySettings(readResult);
          }
          statistics.settings(live.summary(config));
        });
  }

  /**
   * Everything here and the module go by the new settings from the same moment, between two events.
   */
  private void applySettings(ConfigFileWatcher.ReadResult readResult) {
    long from = System.nanoTime();
    AgentConfig before = config;
    AgentConfig next = readResult.config();
    SettingsReload reload;
    try {
      if (shutdown.isStopping()) {
        throw new IllegalArgumentException("the agent ends");
      }
      reload =
          LiveSettings.reload(
              before,
              next,
              zone ->
                  servers.values().stream()
                      .anyMatch(each -> each.server().zone() == before.zones().indexOf(zone)));
      apply(next);
      balancer.settings(now(), reload);
    } catch (RuntimeException e) {
      apply(before);
      live.refuse(
          before,
          readResult,
          e instanceof IllegalArgumentException ? e.getMessage() : e.toString());
      return;
    }
    if (reload.remapsServers()) {
      servers.replaceAll(
          (id, each) ->
              new Discovery.ListedEndpoint(
                  reload.remapped(each.server()), each.name(), each.address()));
    }
    if (!next.settings().pollDiscovery()) {
      discovery.watch(); // the module does not ask for it any more
    }
    file.pollEvery(next.live().checkMs());
    live.applied(before, readResult, (System.nanoTime() - from) / 1000);
  }

  private void apply(AgentConfig next) {
    config = next;
    backends.apply(next, maxConnections(next));
    clients.apply(next, maxConnections(next));
    discovery.apply(next);
  }

  /** Ends in order, and returns when all is done; see {@link AgentShutdown}. */
  public void stop() {
    shutdown.stop();
  }

  /** Waits until the agent has ended. */
  public void awaitEnd() {
    shutdown.awaitEnd();
  }

  /** After the longest deadline no client waits any more. */
  private void timeOutAll() {
    List.copyOf(pendingById.values())
        .forEach(each -> timeOut(each, HttpResponseStatus.GATEWAY_TIMEOUT));
  }

  private void close() {
    discovery.close();
    file.close();
    group
        .shutdownGracefully(QUIET_MS, GROUP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .addListener(done -> shutdown.ended());
  }

  private long longestTimeoutMillis() {
    return config.settings().classes().stream()
            .mapToLong(LoadBalancer.RequestClass::timeout)
            .max()
            .orElse(0)
        / 1000;
  }

  /** How many servers something is kept for: what leaves the list must leave nothing behind. */
  int trackedServers() throws InterruptedException {
    return loop.submit(() -> Math.max(servers.size(), backends.size())).sync().getNow();
  }

  /** How many connections it has to clients and servers. */
  int connections() throws InterruptedException {
    return loop.submit(() -> clients.size() + backends.connections()).sync().getNow();
  }

  /** How many requests of its own it has answered before it said that it was ready. */
  int warmedBy() throws InterruptedException {
    return loop.submit(() -> warmedBy).sync().getNow();
  }

  private long now() {
    return anchorMicros + System.nanoTime() / 1000;
  }

  // ---- Events ----

  /** Lets an event into the module. One that arises inside another waits its turn on the loop. */
  private void event(Runnable event) {
    event(null, event);
  }

  /** The same for an event of one request, which is given up if the module fails over it. */
  private void event(Pending pending, Runnable event) {
    if (deciding) {
      loop.execute(() -> event(pending, event));
      return;
    }
    deciding = true;
    try {
      event.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      say("module: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
      if (pending != null) {
        loop.execute(() -> timeOut(pending, HttpResponseStatus.INTERNAL_SERVER_ERROR));
      }
    } finally {
      deciding = false;
    }
  }

  /**
   * Guards against a request that the module has lost by a fault of its own: it is still failed
   * once.
   */
  private void timeOut(Pending pending, HttpResponseStatus status) {
    if (!pending.completed) {
      statistics.givenUp();
      respond(pending, status, 0);
      event(() -> balancer.clientLeft(now(), pending.id));
      cancelAttempts(pending);
    }
  }

  private void updateServers(LoadBalancer.ListKind kind, List<Discovery.ListedEndpoint> endpoints) {
    Set<Long> gone =
        new HashSet<>(kind == LoadBalancer.ListKind.DELTA ? Set.of() : servers.keySet());
    for (Discovery.ListedEndpoint endpoint : endpoints) {
      long id = endpoint.server().id();
      gone.remove(id);
      servers.put(id, endpoint);
      backends.update(endpoint);
    }
    gone.forEach(backends::remove);
    List<LoadBalancer.Server> entries =
        endpoints.stream().map(Discovery.ListedEndpoint::server).toList();
    event(() -> balancer.servers(now(), kind, entries));
    endpoints.stream()
        .map(Discovery.ListedEndpoint::server)
        .filter(each -> each.phase() == LoadBalancer.Phase.GONE)
        .forEach(each -> gone.add(each.id()));
    servers.keySet().removeAll(gone);
  }

  private void request(IncomingRequest incoming, ClientExchange exchange) {
    // Guards against an effect twice, and against one request getting the other's answer: the
    // second is
    // not passed on, whoever sent it, and the first goes on unharmed.
    if (byName.containsKey(incoming.id())) {
      exchange.respond(HttpResponseStatus.CONFLICT);
      return;
    }
    long id = nextId++;
    Pending pending = new Pending(id, incoming, exchange, now());
    pendingById.put(id, pending);
    byExchange.put(exchange, pending);
    byName.put(incoming.id(), pending);
    long left = Math.max(0, 1000 * incoming.timeoutMs() - MARGIN_MICROS);
    pending.guard =
        loop.schedule(
            () -> timeOut(pending, HttpResponseStatus.GATEWAY_TIMEOUT),
            left + GUARD_MICROS,
            TimeUnit.MICROSECONDS);
    long deadline = now() + left;
    event(
        pending,
        () -> {
          IncomingRequest current = clients.reparse(incoming);
          if (current == null) {
            respond(pending, HttpResponseStatus.BAD_REQUEST, 0);
            return;
          }
          pending.request = current;
          balancer.request(
              now(),
              new LoadBalancer.Request(
                  id,
                  current.requestClass(),
                  current.tenant(),
                  current.key(),
                  current.hint(),
                  deadline,
                  current.repeated(),
                  false));
        });
  }

  private void clientLeft(ClientExchange exchange) {
    Pending pending = byExchange.get(exchange);
    if (pending != null && !pending.completed) {
      completed(pending, RequestStatistics.Disposition.LEFT);
      event(() -> balancer.clientLeft(now(), pending.id));
      cancelAttempts(pending);
    }
  }

  /** Ends the attempts that outlive their client, where the module has left them. */
  private void cancelAttempts(Pending pending) {
    pending.attempts.forEach(BackendAttempt::cancel);
  }

  private void outcome(
      Pending pending, int attempt, long server, long sentAt, AttemptResult result) {
    pending.attemptsInFlight--;
    statistics.ended(result.outcome());
    boolean first = !pending.completed;
    if (result.served() != null && first) {
      pending.exchange.respond(HttpResponseStatus.OK, result.served(), 0);
      completed(pending, RequestStatistics.Disposition.SERVED);
    }
    // Guards against asking every server what one has found to be no good, and against blaming it.
    boolean bad = result.rejection() != null;
    if (bad) {
      respond(pending, result.rejection(), 0);
    }
    LoadBalancer.Outcome outcome = bad ? LoadBalancer.Outcome.CANCELLED : result.outcome();
    removeIfDone(pending);
    event(
        pending,
        () ->
            balancer.outcome(
                now(),
                pending.id,
                attempt,
                server,
                outcome,
                now() - sentAt,
                pending.completed,
                result.load()));
  }

  private void respond(Pending pending, HttpResponseStatus status, long retryAfter) {
    if (!pending.completed) {
      pending.exchange.respond(status, null, retryAfter);
      boolean refused = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
      completed(
          pending,
          refused ? RequestStatistics.Disposition.REFUSED : RequestStatistics.Disposition.FAILED);
    }
  }

  private void completed(Pending pending, RequestStatistics.Disposition how) {
    pending.completed = true;
    statistics.completed(how, pending.attempts.size());
    if (how != RequestStatistics.Disposition.SERVED
        && how != RequestStatistics.Disposition.LEFT
        && statistics.wantsUnserved()) {
      statistics.unserved(
          pending.request.id(),
          pending.request.type(),
          RequestStatistics.word(how),
          now() - pending.cameAt,
          pending.request.timeoutMs(),
          pending.attempts.stream()
              .map(each -> name(each.server()) + " " + each.describe())
              .toList());
    }
    pending.guard.cancel(false);
    byExchange.remove(pending.exchange);
    removeIfDone(pending);
  }

  private void removeIfDone(Pending pending) {
    if (pending.completed && pending.attemptsInFlight == 0) {
      pendingById.remove(pending.id);
      byName.remove(pending.request.id(), pending);
    }
  }

  // ---- Actions ----

  @Override
  public void send(long request, long server, long timeout) {
    Pending pending = pendingById.get(request);
    if (pending == null || pending.completed) {
      return;
    }
    int attempt = pending.attempts.size();
    long sentAt = now();
    pending.attemptsInFlight++;
    if (attempt == 0) {
      statistics.waited(sentAt - pending.cameAt);
    }
    pending.attempts.add(
        backends.send(
            server,
            pending.request.forward(),
            timeout,
            result -> outcome(pending, attempt, server, sentAt, result)));
  }

  @Override
  public void refuse(long request, long retryAfter) {
    Pending pending = pendingById.get(request);
    if (pending != null) {
      respond(
          pending,
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          retryAfter > 0 ? retryAfter : RETRY_AFTER_MICROS);
    }
  }

  @Override
  public void fail(long request) {
    Pending pending = pendingById.get(request);
    if (pending != null) {
      respond(pending, HttpResponseStatus.BAD_GATEWAY, 0);
    }
  }

  @Override
  public void cancel(long request, int attempt) {
    Pending pending = pendingById.get(request);
    if (pending != null && attempt < pending.attempts.size()) {
      pending.attempts.get(attempt).cancel();
    }
  }

  @Override
  public void probe(long server) {
    long sentAt = now();
    backends.probe(
        server,
        result -> {
          event(
              () ->
                  balancer.probed(now(), server, result.outcome(), now() - sentAt, result.load()));
        });
  }

  @Override
  public void sendToPeers(int agent, byte[] message) {} // the module sends no messages

  @Override
  public void timer(long token, long delay) {
    loop.schedule(() -> event(() -> balancer.timer(now(), token)), delay, TimeUnit.MICROSECONDS);
  }

  @Override
  public void closeIdle(long server) {
    backends.closeIdle(server);
  }

  @Override
  public void watchServers() {
    loop.execute(
        () -> {
          watchRequested = true;
          watchWhenStarted();
        });
  }

  /**
   * Guards against the known list coming after discovery's, where the module asks as soon as it is
   * made: it would take the newer one's place.
   */
  private void watchWhenStarted() {
    if (known == null && watchRequested) {
      discovery.watch();
    }
  }

  @Override
  public void fetchServers() {
    loop.execute(() -> discovery.fetch());
  }

  @Override
  public void log(String line) {
    say(
        SERVER
            .matcher(line)
            .replaceFirst(
                match ->
                    Matcher.quoteReplacement("server " + name(Long.parseLong(match.group(1))))));
  }

  private String name(long server) {
    Discovery.ListedEndpoint listed = servers.get(server);
    return listed == null ? null : listed.name();
  }

  /** One plain line to standard error, which is the agent's log. */
  static void say(String line) {
    System.err.println(line);
  }
}
