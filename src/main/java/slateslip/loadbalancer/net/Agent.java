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
 * Hosts a {@link LoadBalancer} on real sockets: passes network events to the load balancer and
 * carries out its actions as HTTP traffic. One event loop thread owns the sockets, the timers and
 * the load balancer.
 */
public final class Agent implements LoadBalancer.Actions {
  /**
   * Time reserved out of the client's timeout for the response's way back to the client and for a
   * late wake-up of the event loop. The load balancer's deadline for a request is earlier than the
   * client's timeout by this margin.
   */
  private static final long RESPONSE_MARGIN_MICROS = 10_000;

  /**
   * How long after the load balancer's deadline the agent itself fails a request that has no
   * response yet. An open request at that time means that the load balancer is at fault.
   */
  private static final long GUARD_DELAY_MICROS = 5_000;

  /**
   * File descriptors that are reserved for the program's own files, discovery and the listening
   * socket.
   */
  private static final int SOCKETS_RESERVED = 40;

  /** The Retry-After advice for refused requests for which the load balancer gives none. */
  static final long RETRY_AFTER_MICROS = 250_000;

  private static final long GROUP_QUIET_MS = 50;
  private static final long GROUP_TIMEOUT_MS = 500;

  /**
   * How long the agent waits for the first server list from discovery before it becomes ready with
   * the list from the configuration.
   */
  private static final long FIRST_LIST_TIMEOUT_MS = 1_000;

  private static final Pattern SERVER_ID_PREFIX = Pattern.compile("^server (-?\\d+)");

  private AgentConfig config;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private LoadBalancer balancer;
  private final BackendConnections backends;
  private final Discovery discovery;
  private final ClientServer clients;
  private final RequestStatistics statistics = new RequestStatistics();
  private final Map<Long, Pending> pendingById = new HashMap<>();
  private final Map<ClientExchange, Pending> pendingByExchange = new HashMap<>();

  /** The same requests by their Request-Id header. */
  private final Map<String, Pending> pendingByRequestId = new HashMap<>();

  /** The entries of the current server list by server id. */
  private final Map<Long, Discovery.ListedEndpoint> servers = new HashMap<>();

  private final LiveSettings live = new LiveSettings();
  private final ConfigFileWatcher file;

  /**
   * The server list from the configuration, which is in use until discovery responds; null once the
   * load balancer has received the list.
   */
  private Discovery.Listing knownList;

  /**
   * Converts the monotonic clock to the time of day, in which the server list states start times.
   * Computed once, so that the resulting clock never runs backwards.
   */
  private final long clockOffsetMicros =
      1000 * System.currentTimeMillis() - System.nanoTime() / 1000;

  private final AgentShutdown shutdown;
  private long nextId = 1;
  private boolean watchRequested;
  private boolean inLoadBalancer;

  /**
   * Whether a server list has been received from discovery or {@link #FIRST_LIST_TIMEOUT_MS} has
   * passed. The agent is ready once this field and {@link #warm} are true.
   */
  private boolean hasList;

  private boolean warm;
  private int warmupResponses;

  /** A request without a final response, or with an attempt that is still in flight. */
  private static final class Pending {
    final long id;

    /**
     * The request, parsed with the settings that were in force when the load balancer received it.
     */
    IncomingRequest request;

    final ClientExchange exchange;
    final long arrivedAt;
    final List<BackendAttempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    boolean completed;
    Future<?> guard;

    Pending(long id, IncomingRequest request, ClientExchange exchange, long arrivedAt) {
      this.id = id;
      this.arrivedAt = arrivedAt;
      this.request = request;
      this.exchange = exchange;
    }
  }

  private Agent(Path path, AgentConfig config, Function<Agent, LoadBalancer> balancerFactory)
      throws IOException {
    this.config = config;
    this.file = new ConfigFileWatcher(path, config.live() != null, this::onConfigRead);
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
                hasList = true;
                Agent.this.updateServers(kind, endpoints);
              }

              @Override
              public void failed(String reason) {
                log("discovery: " + reason);
                if (Agent.this.config.settings().pollDiscovery()) {
                  event(
                      () ->
                          Agent.this.balancer.servers(
                              now(), LoadBalancer.ListKind.FAILED, List.of()));
                }
              }
            });
    knownList = decodeKnownList(config);
    if (config.settings().pollDiscovery()) {
      discovery.setKnownList(knownList);
    }
    // The load balancer is created after discovery, because its constructor may call discovery. The
    // constructor runs on the event loop, because a timer that it sets could otherwise fire before
    // the field is assigned.
    loop.submit(() -> balancer = balancerFactory.apply(this)).syncUninterruptibly();
    var handler =
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
            loop, config, maxConnections(config), () -> hasList && warm, handler, System::nanoTime);
    shutdown =
        new AgentShutdown(
            loop,
            clients,
            this::longestTimeoutMillis,
            pendingById::size,
            this::timeOutAll,
            this::close);
  }

  /**
   * Returns the maximum number of client connections, which is also the maximum number of backend
   * connections.
   */
  private static int maxConnections(AgentConfig config) {
    return (config.sockets() - SOCKETS_RESERVED) / 2;
  }

  /**
   * Starts an agent, which accepts connections when this method returns.
   *
   * @param config the agent's configuration file
   * @return the running agent
   * @throws IllegalArgumentException if the configuration is unusable; the message is one line
   * @throws IOException if the agent cannot listen on its configured address
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

  /** Starts an agent with another load balancer than {@link DefaultLoadBalancer}. */
  static Agent start(AgentConfig config, Function<Agent, LoadBalancer> balancerFactory)
      throws IOException {
    return start(null, config, balancerFactory);
  }

  private static Agent start(
      Path file, AgentConfig config, Function<Agent, LoadBalancer> balancerFactory)
      throws IOException {
    Agent agent = new Agent(file, config, balancerFactory);
    agent.startAsync();
    InetSocketAddress at = agent.address();
    logLine("listening on " + at.getAddress().getHostAddress() + ":" + at.getPort());
    return agent;
  }

  /**
   * Creates an agent that listens but has not passed a server list to its load balancer and serves
   * no requests yet.
   */
  static Agent createUnstarted(AgentConfig config, Function<Agent, LoadBalancer> balancerFactory)
      throws IOException {
    return new Agent(null, config, balancerFactory);
  }

  void startAsync() {
    loop.execute(this::startOnLoop);
  }

  private static Discovery.Listing decodeKnownList(AgentConfig config) {
    try {
      return Discovery.decode(config.known(), config);
    } catch (IllegalArgumentException e) {
      logLine("unusable known list in the configuration: " + e.getMessage());
      return new Discovery.Listing(0, true, List.of());
    }
  }

  private void startOnLoop() {
    // Releases the parsed JSON before the load balancer builds its own copy of the list: the two
    // together may exceed the heap.
    apply(config.withoutKnown());
    List<Discovery.ListedEndpoint> cached = knownList.endpoints();
    knownList = null;
    updateServers(LoadBalancer.ListKind.CACHED, cached);
    watchRequested |= !config.settings().pollDiscovery();
    watchWhenStarted();
    loop.schedule(() -> hasList = true, FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    CodeWarmup.run(
        loop,
        config,
        backends,
        clients,
        completed -> {
          // The statistics must not include the warm-up requests.
          statistics.takeLines(0, 0);
          loop.scheduleAtFixedRate(
              this::logStatistics,
              RequestStatistics.PERIOD_SECONDS,
              RequestStatistics.PERIOD_SECONDS,
              TimeUnit.SECONDS);
          warm = true;
          warmupResponses = completed;
          if (config.live() != null) {
            logLine(LiveSettings.startLine(config));
            statistics.setSettingsSummary(live.summary(config));
            file.pollEvery(config.live().checkMs());
          }
        });
  }

  private void logStatistics() {
    statistics.takeLines(pendingById.size(), backends.connections()).forEach(Agent::logLine);
  }

  /** Returns the address on which the agent listens for clients. */
  InetSocketAddress address() {
    return (InetSocketAddress) clients.channel().localAddress();
  }

  /**
   * Applies the parts of the configuration file that may change while the agent runs: the address
   * of discovery and, if the settings have a version, the settings. Requests in flight continue,
   * and an unusable file changes nothing. The calling thread reads the file, unless another thread
   * is already reading it; that thread then reads the file once more.
   *
   * @param from the configuration file
   */
  public void reload(Path from) {
    file.read(from);
  }

  /**
   * Receives the result of a read of the configuration file, on the thread that has read the file.
   */
  private void onConfigRead(ConfigFileWatcher.ReadResult readResult) {
    try {
      loop.execute(() -> reloadConfig(readResult));
    } catch (RejectedExecutionException e) {
      if (readResult.requested()) {
        // A SIGHUP may arrive at any time during the shutdown.
        logLine("reload: configuration not applied, the agent has ended");
      }
    }
  }

  /**
   * Moves discovery to its new address even if the settings in the same file are rejected: an agent
   * that loses discovery loses its server list, which is worse than outdated settings. The settings
   * are applied completely or not at all.
   */
  private void reloadConfig(ConfigFileWatcher.ReadResult readResult) {
    if (readResult.discovery() != null) {
      discovery.moveTo(readResult.discovery());
    }
    if (config.live() == null) {
      if (readResult.unusable() != null) {
        logLine(
            "reload: configuration file refused, the current settings stay: "
                + readResult.unusable());
      }
      return;
    }
    event(
        () -> {
          if (live.shouldApply(config, readResult)) {
            applySettings(readResult);
          }
          statistics.setSettingsSummary(live.summary(config));
        });
  }

  /**
   * Puts new settings in force for this agent and the load balancer at the same moment, between two
   * events. Restores the previous settings if the new ones are rejected.
   */
  private void applySettings(ConfigFileWatcher.ReadResult readResult) {
    long from = System.nanoTime();
    AgentConfig before = config;
    AgentConfig next = readResult.config();
    SettingsReload reload;
    try {
      if (shutdown.isStopping()) {
        throw new IllegalArgumentException("the agent is shutting down");
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
      // With these settings the load balancer no longer starts the calls to discovery.
      discovery.watch();
    }
    file.pollEvery(next.live().checkMs());
    live.logApplied(before, readResult, (System.nanoTime() - from) / 1000);
  }

  private void apply(AgentConfig next) {
    config = next;
    backends.apply(next, maxConnections(next));
    clients.apply(next, maxConnections(next));
    discovery.apply(next);
  }

  /**
   * Shuts the agent down gracefully and returns when all its threads have ended; see {@link
   * AgentShutdown}.
   */
  public void stop() {
    shutdown.stop();
  }

  /** Waits until all threads of the agent have ended. */
  public void awaitEnd() {
    shutdown.awaitEnd();
  }

  /**
   * Fails all open requests with 504. Runs after the longest deadline, when no client waits any
   * longer.
   */
  private void timeOutAll() {
    List.copyOf(pendingById.values())
        .forEach(each -> timeOut(each, HttpResponseStatus.GATEWAY_TIMEOUT));
  }

  private void close() {
    discovery.close();
    file.close();
    group
        .shutdownGracefully(GROUP_QUIET_MS, GROUP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .addListener(done -> shutdown.markEnded());
  }

  private long longestTimeoutMillis() {
    return config.settings().classes().stream()
            .mapToLong(LoadBalancer.RequestClass::timeout)
            .max()
            .orElse(0)
        / 1000;
  }

  /**
   * Returns the number of servers for which the agent holds an entry or a connection pool. Tests
   * use it to detect state that remains after a server has left the list.
   */
  int trackedServers() throws InterruptedException {
    return loop.submit(() -> Math.max(servers.size(), backends.size())).sync().getNow();
  }

  /** Returns the number of open connections to clients and backends. */
  int connections() throws InterruptedException {
    return loop.submit(() -> clients.size() + backends.connections()).sync().getNow();
  }

  /** Returns how many warm-up requests the agent had answered when it became ready. */
  int warmupResponses() throws InterruptedException {
    return loop.submit(() -> warmupResponses).sync().getNow();
  }

  private long now() {
    return clockOffsetMicros + System.nanoTime() / 1000;
  }

  // ---- Events ----

  /**
   * Passes an event to the load balancer. An event that arises during another event is queued on
   * the event loop.
   */
  private void event(Runnable event) {
    event(null, event);
  }

  /**
   * Passes an event of one request to the load balancer. If the load balancer throws an exception,
   * the request fails with 500.
   */
  private void event(Pending pending, Runnable event) {
    if (inLoadBalancer) {
      loop.execute(() -> event(pending, event));
      return;
    }
    inLoadBalancer = true;
    try {
      event.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      logLine("load balancer failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
      if (pending != null) {
        loop.execute(() -> timeOut(pending, HttpResponseStatus.INTERNAL_SERVER_ERROR));
      }
    } finally {
      inLoadBalancer = false;
    }
  }

  /**
   * Fails a request that has no final response yet. Ensures exactly one final response for a
   * request that the load balancer has lost because of a fault.
   */
  private void timeOut(Pending pending, HttpResponseStatus status) {
    if (!pending.completed) {
      statistics.recordGivenUp();
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
    // Rejects a request whose id is already open, whoever sent it, and leaves the open request
    // untouched. Otherwise the request could take effect twice, or one client could receive the
    // response to another client's request.
    if (pendingByRequestId.containsKey(incoming.id())) {
      exchange.respond(HttpResponseStatus.CONFLICT);
      return;
    }
    long id = nextId++;
    Pending pending = new Pending(id, incoming, exchange, now());
    pendingById.put(id, pending);
    pendingByExchange.put(exchange, pending);
    pendingByRequestId.put(incoming.id(), pending);
    long left = Math.max(0, 1000 * incoming.timeoutMs() - RESPONSE_MARGIN_MICROS);
    pending.guard =
        loop.schedule(
            () -> timeOut(pending, HttpResponseStatus.GATEWAY_TIMEOUT),
            left + GUARD_DELAY_MICROS,
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
                  current.workHint(),
                  deadline,
                  current.clientRetry(),
                  false));
        });
  }

  private void clientLeft(ClientExchange exchange) {
    Pending pending = pendingByExchange.get(exchange);
    if (pending != null && !pending.completed) {
      completed(pending, RequestStatistics.Disposition.LEFT);
      event(() -> balancer.clientLeft(now(), pending.id));
      cancelAttempts(pending);
    }
  }

  /** Cancels the attempts that the load balancer has not cancelled although the client has left. */
  private void cancelAttempts(Pending pending) {
    pending.attempts.forEach(BackendAttempt::cancel);
  }

  private void outcome(
      Pending pending, int attempt, long server, long sentAt, AttemptResult result) {
    pending.attemptsInFlight--;
    statistics.recordAttempt(result.outcome());
    boolean first = !pending.completed;
    if (result.served() != null && first) {
      pending.exchange.respond(HttpResponseStatus.OK, result.served(), 0);
      completed(pending, RequestStatistics.Disposition.SERVED);
    }
    // A 4xx response concerns the request itself. The attempt is reported as cancelled, so that the
    // load balancer neither sends the request to every other backend nor counts the response
    // against this one.
    boolean invalidRequest = result.rejection() != null;
    if (invalidRequest) {
      respond(pending, result.rejection(), 0);
    }
    LoadBalancer.Outcome outcome =
        invalidRequest ? LoadBalancer.Outcome.CANCELLED : result.outcome();
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

  private void completed(Pending pending, RequestStatistics.Disposition disposition) {
    pending.completed = true;
    statistics.recordCompleted(disposition, pending.attempts.size());
    if (disposition != RequestStatistics.Disposition.SERVED
        && disposition != RequestStatistics.Disposition.LEFT
        && statistics.wantsUnserved()) {
      statistics.recordUnserved(
          pending.request.id(),
          pending.request.className(),
          RequestStatistics.lowerCaseName(disposition),
          now() - pending.arrivedAt,
          pending.request.timeoutMs(),
          pending.attempts.stream()
              .map(each -> name(each.server()) + " " + each.describe())
              .toList());
    }
    pending.guard.cancel(false);
    pendingByExchange.remove(pending.exchange);
    removeIfDone(pending);
  }

  private void removeIfDone(Pending pending) {
    if (pending.completed && pending.attemptsInFlight == 0) {
      pendingById.remove(pending.id);
      pendingByRequestId.remove(pending.request.id(), pending);
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
      statistics.recordWait(sentAt - pending.arrivedAt);
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
  public void sendToPeers(int agent, byte[] message) {
    // The load balancer sends no messages to other agents.
  }

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
   * Starts to follow discovery once the load balancer has received the list from the configuration
   * and discovery is wanted. A load balancer may ask for discovery as soon as it is created;
   * without the first condition the list from the configuration could arrive after the newer list
   * from discovery and replace that list.
   */
  private void watchWhenStarted() {
    if (knownList == null && watchRequested) {
      discovery.watch();
    }
  }

  @Override
  public void fetchServers() {
    loop.execute(() -> discovery.fetch());
  }

  @Override
  public void log(String line) {
    logLine(
        SERVER_ID_PREFIX
            .matcher(line)
            .replaceFirst(
                match ->
                    Matcher.quoteReplacement("server " + name(Long.parseLong(match.group(1))))));
  }

  private String name(long server) {
    Discovery.ListedEndpoint endpoint = servers.get(server);
    return endpoint == null ? null : endpoint.name();
  }

  /** Writes one line to standard error, which is the agent's log. */
  static void logLine(String line) {
    System.err.println(line);
  }
}
