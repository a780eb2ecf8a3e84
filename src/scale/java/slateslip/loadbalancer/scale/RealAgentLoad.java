package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slateslip.loadbalancer.scale.BackendStandIns.Backend;
import slateslip.loadbalancer.scale.BackendStandIns.Mode;
import slateslip.loadbalancer.scale.BackendStandIns.Work;
import slateslip.loadbalancer.scale.ClientLoad.Outcome;
import slateslip.loadbalancer.scale.RealAgents.RealAgent;
import slateslip.loadbalancer.scale.RealAgents.Told;

/**
 * The real agents of an experiment with what they need and hollow ones do not: clients, and
 * backends that answer. Without real agents nothing of it is there, and the servers are names only.
 * One thread uses it.
 */
final class RealAgentLoad implements AutoCloseable {
  /** How discovery names real agents: each calls another of its addresses. */
  static final String PREFIX = "127.3.";

  private static final Pattern IN_FORCE = Pattern.compile("^settings: version (\\d+) in force");
  private static final int BLOCK = 3;
  private static final int THREADS = 2;

  /** Of the settings, and what every time limit of the protocol is extended by. */
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetConfig.GRACE_MS + 50);

  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 30_000;
  private static final int PORT_ATTEMPTS = 100;
  private static final int MAX_LOGS = 3;
  private static final int CONCURRENT = 16;
  private static final int QUEUE = 64;
  private static final double WARMUP_FACTOR = 3;
  private static final long WARMUP_MS = 20_000;
  private static final List<ClientLoad.Kind> KINDS =
      List.of(
          new ClientLoad.Kind("lookup", ClientLoad.Semantics.SAFE, 1, FleetConfig.GIVE_UP_MS),
          new ClientLoad.Kind("pay", ClientLoad.Semantics.KEYED, 1, FleetConfig.GIVE_UP_MS),
          new ClientLoad.Kind("order", ClientLoad.Semantics.UNSAFE, 1, FleetConfig.GIVE_UP_MS));

  private final FleetPlan plan;
  private final EventLoopGroup group;
  private final int port;
  private final RealAgents agents;
  private final BackendStandIns backends;
  private final List<ServerEntry> servers;
  private final Map<String, Backend> backendOf = new HashMap<>();
  private final DrainMonitor drainMonitor = new DrainMonitor(GRACE_NANOS, this::sends);

  /** When each agent has said that it has which version of the settings. */
  private final ChangeTimes settingsTimes;

  private ClientLoad load;

  /**
   * The backends, which listen when this returns; no agent yet.
   *
   * @param root the repository's folder, where the deploy file's build has been run
   * @throws IOException if that is not so
   */
  RealAgentLoad(Children children, FleetPlan plan, Path root) throws IOException {
    this.plan = plan;
    port = freePort();
    settingsTimes = new ChangeTimes(plan.real());
    if (plan.real() == 0) {
      group = null;
      agents = null;
      backends = null;
      servers = FleetServers.made(plan.servers(), plan.zones());
      return;
    }
    agents = new RealAgents(children, root, this::hear);
    group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    Work work = new Work(plan.responseMicros(), plan.responseSigma());
    Map<String, Work> works = new HashMap<>();
    KINDS.forEach(each -> works.put(each.name(), work));
    backends =
        new BackendStandIns(
            group,
            new BackendStandIns.Options(
                works, CONCURRENT, QUEUE, WARMUP_FACTOR, WARMUP_MS, plan.seed()));
    List<ServerEntry> entries = new ArrayList<>();
    for (ServerEntry each : FleetServers.made(plan.servers(), plan.zones())) {
      Backend backend = backends.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      backendOf.put(each.name(), backend);
      entries.add(each.at(Addresses.text(backend.address())));
    }
    servers = List.copyOf(entries);
  }

  /**
   * A port that is free now, for all of discovery's addresses, in this process and in those that
   * follow. It is none that the system gives to connections of its own choice: one would take it
   * while discovery is down.
   */
  private static int freePort() throws IOException {
    for (int i = 0; i < PORT_ATTEMPTS; i++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return port;
      } catch (BindException e) {
        // another try
      }
    }
    throw new IOException("no port from " + MIN_PORT + " to " + MAX_PORT + " is free");
  }

  /** What discovery lists at first. */
  List<ServerEntry> servers() {
    return servers;
  }

  /** Where discovery's process has to listen, the same for each that follows. */
  List<String> discoveryArguments() {
    List<String> arguments = new ArrayList<>(List.of("--listen", "127.0.0.1:" + port));
    for (int i = 0; i < plan.real(); i++) {
      arguments.addAll(List.of("--also", Addresses.text(discovery(i))));
    }
    return arguments;
  }

  private InetSocketAddress discovery(int agent) {
    return Addresses.of(Addresses.host(BLOCK, agent) + ":" + port);
  }

  /** Starts the agents, and their clients once all are ready. */
  void start() throws IOException {
    if (plan.real() == 0) {
      return;
    }
    for (int i = 0; i < plan.real(); i++) {
      agents.start("r" + i, notified(i, 0));
    }
    List<ClientLoad.Stream> streams = new ArrayList<>();
    try {
      for (RealAgent each : agents.all()) {
        streams.add(
            new ClientLoad.Stream(
                each.name(),
                List.of(each.awaitReady()),
                plan.realPerSecond(),
                plan.seed() + streams.size(),
                0));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    load = new ClientLoad(group, streams, KINDS, (stream, number, outcome, nanos) -> {});
    if (plan.realPerSecond() > 0) {
      load.begin();
    }
  }

  /** An agent says on the thread of its log which version is in force; each has one thread. */
  private void hear(String agent, String line) {
    Matcher version = IN_FORCE.matcher(line);
    if (version.find()) {
      settingsTimes.applied(
          Integer.parseInt(agent.substring(1)),
          Long.parseLong(version.group(1)),
          System.nanoTime());
    }
  }

  /** Writes another version of the settings for each agent and has it read them. */
  void settings(int number, long version) throws IOException {
    settingsTimes.expect(number, version);
    try {
      for (int i = 0; i < running().size(); i++) {
        running().get(i).reload(notified(i, version));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** When they had versions of the settings, see {@link ChangeTimes#spread}. */
  ChangeTimes.Spread whenSettings(int first, List<Long> made) {
    return settingsTimes.spread(first, made);
  }

  private Told notified(int agent, long version) {
    ObjectNode template = FleetConfig.common(discovery(agent), plan.zones(), plan.agents());
    FleetConfig.version(template, version);
    FleetConfig.own((ObjectNode) template.get("settings"), agent, plan.mode());
    return new Told(template, "127.0.0.1:0", discovery(agent), plan.agents(), agent);
  }

  /** The backends do as discovery says of them. */
  void changed(List<ServerEntry> changed, long version) {
    if (plan.real() == 0) {
      return;
    }
    for (ServerEntry each : changed) {
      Backend backend = backendOf.get(each.name());
      if (each.status() == ServerEntry.Status.READY) {
        backend.warmup();
        backend.set(Mode.SERVES);
        drainMonitor.returns(each.name());
      } else {
        backend.set(Mode.DRAINING);
        drainMonitor.drainStartedAt(each.name(), version);
      }
    }
  }

  private long sends(String server) {
    BackendStandIns.Counts counts = backendOf.get(server).counts();
    return counts.calls() + counts.turnedAway();
  }

  /** What has come to backends that have left. */
  DrainMonitor draining() {
    return drainMonitor;
  }

  /** Processor time of all agents so far, in seconds. */
  double cpuSeconds() {
    return running().stream().mapToDouble(each -> ProcessFigures.cpuSeconds(each.pid())).sum();
  }

  /** Calls that have ended. */
  long requests() {
    return load == null ? 0 : load.counts().values().stream().mapToLong(Long::longValue).sum();
  }

  /** Calls whose connection ended, or that had no response when their time was over. */
  long lost() {
    return count(Outcome.LOST) + count(Outcome.TIMED_OUT);
  }

  /** Agents that have ended although nobody has told them to. */
  long died() {
    return running().stream().filter(each -> !each.isAlive()).count();
  }

  private long count(Outcome outcome) {
    return load == null ? 0 : load.counts().get(outcome);
  }

  private List<RealAgent> running() {
    return agents == null ? List.of() : agents.all();
  }

  /** What their clients have counted, by how calls ended. */
  Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    if (load != null) {
      load.counts()
          .forEach((outcome, count) -> counts.put(outcome.name().toLowerCase(Locale.ROOT), count));
    }
    return counts;
  }

  /** The last log lines of the agents that refused or failed calls; of some, if there are many. */
  Map<String, List<String>> logs() {
    Map<String, List<String>> logs = new TreeMap<>();
    for (int i = 0; load != null && i < running().size() && logs.size() < MAX_LOGS; i++) {
      Map<Outcome, Long> counts = load.counts(i);
      counts.remove(Outcome.SERVED);
      if (counts.values().stream().anyMatch(each -> each > 0)) {
        RealAgent agent = running().get(i);
        logs.put(agent.name() + " " + counts, agent.log());
      }
    }
    return logs;
  }

  /** Adds what they have counted and cost in all. */
  void totals(ObjectNode totals) {
    counts().forEach((name, count) -> totals.put("real_" + name, count));
    if (load != null) {
      totals.put(
          "real_resident_mb_each",
          FleetProcesses.round(
              running().stream()
                  .mapToDouble(each -> ProcessFigures.residentMb(each.pid()))
                  .average()
                  .orElse(0)));
      BackendStandIns.Counts counts = backends.counts();
      totals
          .put("real_late_sends", drainMonitor.late())
          .put("real_leaves_judged", drainMonitor.judged());
      totals
          .put("backends_calls", counts.calls())
          .put("backends_turned_away", counts.turnedAway())
          .put("backends_probes", counts.probes());
    }
  }

  @Override
  public void close() throws IOException {
    if (agents == null) {
      return;
    }
    try {
      if (load != null) {
        load.close();
      }
      backends.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    } finally {
      agents.close();
    }
  }
}
