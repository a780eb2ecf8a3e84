package slateslip.loadbalancer.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import slateslip.loadbalancer.DefaultLoadBalancer;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.SettingsReload;
import slateslip.loadbalancer.net.AgentConfig;
import slateslip.loadbalancer.net.Discovery;

/**
 * An agent without clients and servers: it follows the list with the agent's own code on a
 * connection of its own and decides with the real module, and only what servers answer is made up.
 * Thousands share a process. It does what {@code slateslip.loadbalancer.net.Agent} does, in the
 * same order; all of it runs on one event loop, which it shares with other hollow agents.
 */
final class HollowAgent implements LoadBalancer.Actions {
  /** Of the client's time, what a real agent keeps for the response's way back. */
  private static final long MARGIN_MICROS = 10_000;

  /** By so much every time limit of the protocol is extended: then the request is lost. */
  private static final long LOST_AFTER_MICROS = 50_000;

  /** Until a refused connection shows, as on the loopback interface. */
  private static final long REFUSED_MICROS = 200;

  private static final double[] NO_LOAD = new double[0];

  private final EventLoop loop;

  /** What is in force, and its version. */
  private AgentConfig config;

  private long settingsVersion;
  private final ServerGroundTruth truth;
  private final HollowLoad load;
  private final LongSupplier micros;
  private final LongConsumer applied;

  /** The monotonic clock is anchored once to the time of day, in which the list tells starts. */
  private final long anchorMicros;

  private final SplittableRandom random;
  private final HollowCounts counts = new HollowCounts();
  private final Map<Long, Pending> open = new HashMap<>();

  /** The servers listed, and what tells this list from another: see {@link Fingerprint}. */
  private final Map<Long, Server> listed = new HashMap<>();

  private long fingerprint;

  /** When a list that drains or removes a server was applied here. */
  private final Map<Long, Long> leftAt = new HashMap<>();

  private final Discovery discovery;
  private final LoadBalancer balancer;
  private long nextId = 1;
  private boolean deciding;
  private boolean closed;

  /** A request that came and is not yet done with. */
  private static final class Pending {
    final long id;
    final List<Try> attempts = new ArrayList<>(1);
    int out;
    boolean responded;
    Future<?> guard;

    Pending(long id) {
      this.id = id;
    }
  }

  /** One send: what cancels it says so in its outcome, as a closed connection does. */
  private final class Try {
    final Pending pending;
    final int number;
    final long server;
    final long sentAt;
    private final Future<?> response;
    private boolean ended;

    Try(Pending pending, int number, long server, long sentAt, Outcome outcome, long spentMicros) {
      this.pending = pending;
      this.number = number;
      this.server = server;
      this.sentAt = sentAt;
      this.response = loop.schedule(() -> end(outcome), spentMicros, TimeUnit.MICROSECONDS);
    }

    void cancel() {
      if (response.cancel(false)) {
        loop.execute(() -> end(Outcome.CANCELLED));
      }
    }

    private void end(Outcome outcome) {
      if (!ended) {
        ended = true;
        outcome(this, outcome);
      }
    }
  }

  /**
   * A hollow agent that does nothing yet.
   *
   * @param loop where everything of it runs
   * @param config its own, as a real agent would read it
   * @param truth what the servers are
   * @param load what it carries
   * @param micros the monotonic clock in microseconds, which {@code truth} uses too
   * @param applied hears the list's fingerprint after each list, once the module has it
   */
  HollowAgent(
      EventLoop loop,
      AgentConfig config,
      ServerGroundTruth truth,
      HollowLoad load,
      LongSupplier micros,
      LongConsumer applied) {
    this.loop = loop;
    this.config = config;
    this.truth = truth;
    this.load = load;
    this.micros = micros;
    this.applied = applied;
    this.anchorMicros = 1000 * System.currentTimeMillis() - micros.getAsLong();
    this.random = new SplittableRandom(config.seed());
    this.discovery =
        new Discovery(
            loop,
            config,
            new Discovery.Listener() {
              @Override
              public void updateServers(ListKind kind, List<Discovery.ListedEndpoint> endpoints) {
                HollowAgent.this.list(kind, endpoints);
              }

              @Override
              public void failed(String why) {
                counts.lists.merge(ListKind.FAILED, 1L, Long::sum);
                if (HollowAgent.this.config.settings().pollDiscovery()) {
                  event(() -> balancer().servers(now(), ListKind.FAILED, List.of()));
                }
              }
            });
    // After discovery: the module may ask for the list at once, on the loop, and would find none to
    // ask.
    this.balancer = new DefaultLoadBalancer(config.settings(), config.seed(), now(), this);
  }

  private LoadBalancer balancer() {
    return balancer;
  }

  /** Begins with the known list, follows discovery and takes requests. On the loop. */
  void begin() {
    list(ListKind.CACHED, Discovery.decode(config.known(), config).endpoints());
    if (!config.settings().pollDiscovery()) {
      discovery.watch();
    }
    if (load.perSecond() > 0) {
      nextRequest();
    }
  }

  /**
   * Takes other settings over, as a real agent does once it has read its file; not those of an
   * older version. On the loop.
   *
   * @return whether they are in force now
   */
  boolean settings(long version, AgentConfig next) {
    if (version <= settingsVersion) {
      return false;
    }
    AgentConfig before = config;
    balancer.settings(
        now(),
        new SettingsReload(
            next.settings(),
            SettingsReload.positions(before.classes(), next.classes()),
            SettingsReload.positions(before.zones(), next.zones()),
            SettingsReload.positions(before.kinds(), next.kinds())));
    config = next;
    settingsVersion = version;
    return true;
  }

  /** Takes no more requests and closes its connection. On the loop. */
  void close() {
    closed = true;
    discovery.close();
  }

  /** What it has counted; to be read on the loop. */
  HollowCounts counts() {
    return counts;
  }

  /** How many requests it has open. On the loop. */
  int open() {
    return open.size();
  }

  /** What tells its list from another, see {@link Fingerprint}. On the loop. */
  long fingerprint() {
    return fingerprint;
  }

  private long now() {
    return anchorMicros + micros.getAsLong();
  }

  // ---- Events ----

  /** Lets an event into the module. One that arises inside another waits its turn on the loop. */
  private void event(Runnable event) {
    if (deciding) {
      loop.execute(() -> event(event));
      return;
    }
    deciding = true;
    try {
      event.run();
    } finally {
      deciding = false;
    }
  }

  /** Applies a list as a real agent does. */
  void list(ListKind kind, List<Discovery.ListedEndpoint> endpoints) {
    counts.lists.merge(kind, 1L, Long::sum);
    boolean had = !listed.isEmpty();
    Set<Long> gone = new HashSet<>(kind == ListKind.DELTA ? Set.of() : listed.keySet());
    List<Server> entries = endpoints.stream().map(Discovery.ListedEndpoint::server).toList();
    for (Server entry : entries) {
      gone.remove(entry.id());
      if (entry.phase() == Phase.GONE) {
        gone.add(entry.id());
      } else {
        fingerprint += Fingerprint.of(entry) - Fingerprint.of(listed.put(entry.id(), entry));
      }
      if (entry.phase() == Phase.READY) {
        leftAt.remove(entry.id());
      } else {
        leftAt.putIfAbsent(entry.id(), micros.getAsLong());
      }
    }
    for (Long each : gone) {
      leftAt.putIfAbsent(each, micros.getAsLong());
      fingerprint -= Fingerprint.of(listed.remove(each));
    }
    event(() -> balancer.servers(now(), kind, entries));
    counts.emptied += had && listed.isEmpty() ? 1 : 0;
    applied.accept(fingerprint);
  }

  private void nextRequest() {
    loop.schedule(
        () -> {
          if (!closed) {
            request(random.nextInt(config.settings().classes().size()));
            nextRequest();
          }
        },
        load.gapMicros(random),
        TimeUnit.MICROSECONDS);
  }

  /** A client's request comes. On the loop. */
  void request(int requestClass) {
    Pending pending = new Pending(nextId++);
    counts.requests++;
    open.put(pending.id, pending);
    long left = config.settings().classes().get(requestClass).timeout();
    pending.guard =
        loop.schedule(() -> lose(pending), left + LOST_AFTER_MICROS, TimeUnit.MICROSECONDS);
    LoadBalancer.Request request =
        new LoadBalancer.Request(
            pending.id, requestClass, 0, 0, 0, now() + left - MARGIN_MICROS, false, false);
    event(() -> balancer.request(now(), request));
  }

  /** Its time is over, and the module has given no response. */
  private void lose(Pending pending) {
    if (!pending.responded) {
      counts.lost++;
      answered(pending);
      event(() -> balancer.clientLeft(now(), pending.id));
      pending.attempts.forEach(Try::cancel);
    }
  }

  private void outcome(Try ended, Outcome outcome) {
    Pending pending = ended.pending;
    pending.out--;
    if (outcome == Outcome.OK && !pending.responded) {
      counts.served++;
      answered(pending);
    }
    forget(pending);
    event(
        () ->
            balancer.outcome(
                now(),
                pending.id,
                ended.number,
                ended.server,
                outcome,
                micros.getAsLong() - ended.sentAt,
                pending.responded,
                NO_LOAD));
  }

  private void answered(Pending pending) {
    pending.responded = true;
    pending.guard.cancel(false);
    forget(pending);
  }

  private void forget(Pending pending) {
    if (pending.responded && pending.out == 0) {
      open.remove(pending.id);
    }
  }

  // ---- Actions ----

  @Override
  public void send(long request, long server, long timeout) {
    Pending pending = open.get(request);
    if (pending == null || pending.responded) {
      return;
    }
    long sentAt = micros.getAsLong();
    countSend(server, sentAt);
    Outcome outcome = truth.gone(server) ? Outcome.CONNECT_FAILED : Outcome.OK;
    long spent = outcome == Outcome.OK ? load.responseMicros(random) : REFUSED_MICROS;
    if (timeout > 0 && spent > timeout) {
      outcome = Outcome.TIMEOUT;
      spent = timeout;
    }
    pending.out++;
    pending.attempts.add(new Try(pending, pending.attempts.size(), server, sentAt, outcome, spent));
  }

  private void countSend(long server, long sentAt) {
    long grace = config.settings().obligations().drainGrace();
    counts.attempts++;
    Long left = leftAt.get(server);
    counts.lateAfterNotified += left != null && sentAt > left + grace ? 1 : 0;
    counts.lateAfterMade += truth.late(server, sentAt, grace) ? 1 : 0;
    Server entry = listed.get(server);
    boolean warmingUp =
        entry != null
            && entry.startedAt() > 0
            && now() < entry.startedAt() + config.settings().obligations().warmupTime();
    counts.warmupSends += warmingUp ? 1 : 0;
  }

  @Override
  public void refuse(long request, long retryAfter) {
    Pending pending = open.get(request);
    if (pending != null && !pending.responded) {
      counts.refused++;
      answered(pending);
    }
  }

  @Override
  public void fail(long request) {
    Pending pending = open.get(request);
    if (pending != null && !pending.responded) {
      counts.failed++;
      answered(pending);
    }
  }

  @Override
  public void cancel(long request, int attempt) {
    Pending pending = open.get(request);
    if (pending != null && attempt < pending.attempts.size()) {
      pending.attempts.get(attempt).cancel();
    }
  }

  @Override
  public void probe(long server) {
    counts.probes++;
    long sentAt = micros.getAsLong();
    Outcome outcome = truth.gone(server) ? Outcome.CONNECT_FAILED : Outcome.OK;
    loop.schedule(
        () ->
            event(
                () ->
                    balancer.probed(now(), server, outcome, micros.getAsLong() - sentAt, NO_LOAD)),
        outcome == Outcome.OK ? load.responseMicros(random) : REFUSED_MICROS,
        TimeUnit.MICROSECONDS);
  }

  @Override
  public void sendToPeers(int agent, byte[] message) {} // the module sends no messages

  @Override
  public void timer(long token, long delay) {
    loop.schedule(() -> event(() -> balancer.timer(now(), token)), delay, TimeUnit.MICROSECONDS);
  }

  @Override
  public void closeIdle(long server) {} // it keeps no connections to servers

  @Override
  public void watchServers() {
    loop.execute(() -> discovery.watch());
  }

  @Override
  public void fetchServers() {
    loop.execute(() -> discovery.fetch());
  }

  @Override
  public void log(String line) {
    counts.logLines++;
  }
}
