package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The processes of one experiment: discovery, hollow agents, real agents. One thread uses it. It
 * ends what it has started, whatever happened.
 */
final class FleetProcesses implements AutoCloseable {
  /** How long agents may take to come to the same list: a bound on the run, not a judgement. */
  private static final long STABILIZE_MS = 30_000;

  private static final long SAMPLE_MS = 50;
  private static final double INTERVAL_SECONDS = 1;
  private static final double NANOS = 1e9;
  private static final double KB = 1 << 10;
  private static final int HEAP_MB = 6_000;
  private static final int LOOPS = 3;

  private final FleetPlan plan;
  private final Report report;
  private final Children children;
  private final FleetServers servers;
  private final DiscoveryMeter meter = new DiscoveryMeter();
  private final RealAgentLoad real;
  private final HollowProcess hollow;

  /** When each change was made, or could first be had; and the version it has in discovery. */
  private final List<Long> made = new ArrayList<>();

  private final List<Long> versions = new ArrayList<>();

  /** By change, milliseconds after which real agents had it, as far as discovery was asked. */
  private final List<List<Double>> realMillis = new ArrayList<>();

  private final double emptyResidentMb;
  private final long emptyHeapBytes;
  private DiscoveryProcess discovery;
  private boolean reachable = true;

  /** Told while discovery could not be reached. */
  private final List<ServerEntry> unheard = new ArrayList<>();

  private long version;
  private long intervalAt;
  private DiscoveryMeter.Sums intervalSums;
  private double intervalHollowCpu;
  private int disconnectedAt;

  /** Agents did not come to the same list in the time given. */
  private boolean strayed;

  private int markChange;
  private long markAt;
  private DiscoveryMeter.Sums markSums;
  private DiscoveryMeter.Sums realEnded = DiscoveryMeter.Sums.NONE;
  private DiscoveryMeter.Sums markRealSums;
  private double markHollowCpu;
  private double markRealCpu;
  private long markFailed;
  private int settingsSent;
  private final List<Long> settingsMade = new ArrayList<>();

  /**
   * Starts all processes and waits until every agent has the list.
   *
   * @param report gets a line for each interval
   * @param children sees to their end, whatever happens
   * @throws IOException if a process does not come up or ends
   */
  FleetProcesses(FleetPlan plan, Report report, Children children) throws IOException {
    this.plan = plan;
    this.report = report;
    this.children = children;
    real = new RealAgentLoad(children, plan, Path.of("").toAbsolutePath());
    servers = new FleetServers(real.servers());
    discovery = new DiscoveryProcess(children, real.discoveryArguments());
    version = discovery.replace(servers.entries());
    hollow = new HollowProcess(children, HEAP_MB, LOOPS);
    hollow.ping();
    emptyResidentMb = ProcessFigures.residentMb(hollow.pid());
    emptyHeapBytes = hollow.heapBytes();
    hollow.start(
        new HollowFleet.Plan(
            plan.hollow(),
            plan.real(),
            plan.agents(),
            FleetConfig.common(discovery.address(), plan.zones(), plan.agents()),
            plan.mode(),
            new HollowLoad(plan.perSecond(), plan.responseMicros(), plan.responseSigma()),
            plan.spreadMs(),
            plan.seed()));
    real.start();
    intervalAt = System.nanoTime();
    sample();
    intervalSums = meter.sums();
    stabilize();
    meter.takePeak();
  }

  /** Lets time pass, with the ordinary changes if wanted, and prints a line for each interval. */
  void pass(long millis, boolean changing) throws IOException {
    pass(millis, changing ? plan.changeMs() : 0);
  }

  /** The same with changes as often as that, in milliseconds; 0 for none. */
  void pass(long millis, int changeMs) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    long nextChange = System.nanoTime();
    while (System.nanoTime() < end) {
      if (changeMs > 0 && System.nanoTime() >= nextChange) {
        change(List.of(servers.next(System.currentTimeMillis())));
        nextChange += TimeUnit.MILLISECONDS.toNanos(changeMs);
      }
      sample();
      trackDraining();
      interval();
      sleep(SAMPLE_MS);
    }
  }

  private void trackDraining() throws IOException {
    long waiting = real.draining().waitsFor();
    if (waiting > 0 && discovery != null && realMillis(waiting, 0).size() == plan.real()) {
      real.draining().notified(waiting, System.nanoTime());
    }
    real.draining().pass(System.nanoTime());
  }

  /** Tells a change as one version. */
  void change(List<ServerEntry> changed) throws IOException {
    servers.apply(changed);
    hollow.expect(made.size(), servers.fingerprint());
    JsonNode notified = discovery.change(changed);
    version = notified.path("version").asLong();
    versions.add(version);
    made.add(notified.path("told").asLong());
    real.changed(changed, version);
    if (reachable) {
      hollow.truth(changed, made.get(made.size() - 1));
    } else {
      unheard.addAll(changed);
    }
  }

  /** The list as it stands, and its next changes. */
  FleetServers servers() {
    return servers;
  }

  /** The real agents. */
  RealAgentLoad real() {
    return real;
  }

  /** How many changes were told so far. */
  int changes() {
    return made.size();
  }

  /**
   * Makes one change and has discovery forget how it came to its list: every agent gets the whole
   * of it.
   */
  void forget() throws IOException {
    List<ServerEntry> changed = List.of(servers.next(System.currentTimeMillis()));
    servers.apply(changed);
    hollow.expect(made.size(), servers.fingerprint());
    made.add(System.nanoTime());
    version = discovery.replace(servers.entries());
    versions.add(version);
    real.changed(changed, version);
    hollow.truth(changed, made.get(made.size() - 1));
  }

  /** Discovery cannot be reached from now on; {@code how} is its command for that. */
  void disconnect(String how) throws IOException {
    reachable = false;
    disconnectedAt = made.size();
    discovery.ask(how);
  }

  /** It can be reached again: what was told meanwhile counts from now on. */
  void reachable(String how) throws IOException {
    long from = System.nanoTime();
    discovery.ask(how);
    reachable = true;
    for (int i = disconnectedAt; i < made.size(); i++) {
      made.set(i, from);
    }
    hollow.truth(unheard, from);
    unheard.clear();
  }

  /** Discovery's process dies. */
  void kill() throws IOException {
    sample();
    takeRealMillis();
    meter.ended();
    realEnded = realSums();
    discovery.kill();
    discovery = null;
  }

  /** Another process goes on at the same address with the same list and version. */
  void restart() throws IOException {
    List<String> arguments = new ArrayList<>(real.discoveryArguments());
    arguments.add("--down");
    discovery = new DiscoveryProcess(children, arguments);
    discovery.restore(version, servers.entries());
    discovery.ask("up");
  }

  /** Puts so many versions of the settings in force, one right after the other. */
  void settingsBurst(int count) throws IOException {
    ObjectNode common = FleetConfig.common(discovery.address(), plan.zones(), plan.agents());
    for (int i = 0; i < count; i++) {
      long next = ++settingsSent;
      FleetConfig.version(common, next);
      settingsMade.add(System.nanoTime());
      hollow.settings(settingsMade.size() - 1, next, common);
      real.settings(settingsMade.size() - 1, next);
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STABILIZE_MS);
    while (settingsAgree() < plan.agents() && System.nanoTime() < end) {
      pass(SAMPLE_MS, false);
    }
  }

  /** How many agents have the last version of the settings. */
  private long settingsAgree() throws IOException {
    int last = settingsMade.size() - 1;
    return last < 0
        ? 0
        : hollow.whenSettings(last, settingsMade.subList(last, last + 1)).had()
            + real.whenSettings(last, settingsMade.subList(last, last + 1)).had();
  }

  /** When agents had the versions of the settings: hollow ones, then real ones. */
  List<ChangeTimes.Spread> settingsTimes() throws IOException {
    return List.of(hollow.whenSettings(0, settingsMade), real.whenSettings(0, settingsMade));
  }

  /** From the first version of the settings to the last, in seconds. */
  double settingsSeconds() {
    return (settingsMade.get(settingsMade.size() - 1) - settingsMade.get(0)) / NANOS;
  }

  /** Waits until every agent has the list as it stands, or it has taken too long; prints on. */
  boolean stabilize() throws IOException {
    if (discovery == null || !reachable || strayed) {
      return false;
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STABILIZE_MS);
    while (hollow.agree(servers.fingerprint()) < plan.hollow() || realAgree() < plan.real()) {
      if (System.nanoTime() > end) {
        strayed = true; // the outcome tells; waiting again would not help
        return false;
      }
      pass(SAMPLE_MS, false);
    }
    return true;
  }

  private long realAgree() throws IOException {
    return realMillis(version, 0).size();
  }

  private List<Double> realMillis(long since, long notified) throws IOException {
    List<Double> millis = new ArrayList<>();
    discovery
        .ask(
            Map.of(
                "command",
                "millis",
                "version",
                since,
                "told",
                notified,
                "prefix",
                RealAgentLoad.PREFIX))
        .path("millis")
        .forEach(each -> millis.add(each.asDouble()));
    return millis;
  }

  /** Asks discovery for the times of the changes that it was not asked for yet. */
  private void takeRealMillis() throws IOException {
    while (realMillis.size() < made.size()) {
      int next = realMillis.size();
      realMillis.add(plan.real() == 0 ? List.of() : realMillis(versions.get(next), made.get(next)));
    }
  }

  /** A part of the experiment begins. */
  void mark() throws IOException {
    sample();
    meter.takePeak();
    markChange = made.size();
    markAt = System.nanoTime();
    markSums = meter.sums();
    markRealSums = realSums();
    markHollowCpu = ProcessFigures.cpuSeconds(hollow.pid());
    markRealCpu = real.cpuSeconds();
    markFailed = failedCalls();
  }

  /** It ends: what was measured since it began. */
  FleetPhase phase(String name) throws IOException {
    sample();
    double seconds = (System.nanoTime() - markAt) / NANOS;
    double hollowCpu = (ProcessFigures.cpuSeconds(hollow.pid()) - markHollowCpu) / seconds;
    double realCpu = (real.cpuSeconds() - markRealCpu) / seconds;
    List<Long> times = made.subList(markChange, made.size());
    stabilize();
    takeRealMillis();
    List<Double> millis =
        realMillis.subList(markChange, made.size()).stream().flatMap(List::stream).toList();
    return new FleetPhase(
        name,
        seconds,
        times.size(),
        hollow.when(markChange, times),
        FleetPhase.spread(millis, (long) plan.real() * times.size()),
        plan.agents(),
        meter.sums().minus(markSums),
        realSums().minus(markRealSums),
        meter.takePeak(),
        failedCalls() - markFailed,
        hollowCpu,
        realCpu);
  }

  /**
   * What discovery has done for real agents so far; those of its processes that have ended
   * included.
   */
  private DiscoveryMeter.Sums realSums() throws IOException {
    DiscoveryMeter.Sums sums = realEnded;
    if (discovery != null && plan.real() > 0) {
      for (Map.Entry<String, JsonNode> each : discovery.ask("agents").properties()) {
        if (each.getKey().startsWith(RealAgentLoad.PREFIX)) {
          sums =
              sums.plus(
                  DiscoveryMeter.Sums.of(
                      Json.MAPPER.convertValue(each.getValue(), DiscoveryStandIn.Counts.class), 0));
        }
      }
    }
    return sums;
  }

  private long failedCalls() throws IOException {
    return hollow.report().path("lists").path("failed").asLong();
  }

  private void sample() throws IOException {
    if (discovery != null) {
      DiscoveryStandIn.Counts counts =
          Json.MAPPER.convertValue(
              discovery.ask("stats").path("counts"), DiscoveryStandIn.Counts.class);
      meter.sample(System.nanoTime(), counts, ProcessFigures.cpuSeconds(discovery.pid()));
    }
  }

  private void interval() throws IOException {
    long now = System.nanoTime();
    double seconds = (now - intervalAt) / NANOS;
    if (seconds < INTERVAL_SECONDS) {
      return;
    }
    DiscoveryMeter.Sums sums = meter.sums();
    DiscoveryMeter.Sums since = sums.minus(intervalSums);
    double hollowCpu = ProcessFigures.cpuSeconds(hollow.pid());
    JsonNode counts = hollow.report();
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("version", version);
    line.put("discovery_calls_per_s", round(since.calls() / seconds));
    line.put("discovery_bytes_per_s", round(since.bytes() / seconds));
    line.put("discovery_cpu", round(since.cpuSeconds() / seconds));
    line.put("hollow_cpu", round((hollowCpu - intervalHollowCpu) / seconds));
    line.put("hollow_failed_calls", counts.path("lists").path("failed"));
    for (String each :
        List.of(
            "requests",
            "served",
            "refused",
            "failed",
            "lost",
            "late_after_told",
            "late_after_made",
            "emptied")) {
      line.put("hollow_" + each, counts.path(each));
    }
    real.counts().forEach((name, count) -> line.put("real_" + name, count));
    report.line("interval", line);
    intervalAt = now;
    intervalSums = sums;
    intervalHollowCpu = hollowCpu;
  }

  /** What is judged. */
  FleetOutcome outcome(List<FleetPhase> phases, boolean killed, int changesAfter)
      throws IOException {
    JsonNode counts = hollow.report();
    return new FleetOutcome(
        plan.hollow(),
        hollow.agree(servers.fingerprint()),
        plan.perSecond() == 0 ? -1 : counts.path("requests").asLong(),
        counts.path("lost").asLong(),
        counts.path("late_after_told").asLong() + counts.path("late_after_made").asLong(),
        counts.path("emptied").asLong(),
        phases.stream().mapToLong(each -> each.hollow().had()).sum(),
        phases.stream().mapToLong(each -> each.hollow().of()).sum(),
        plan.real(),
        realAgree(),
        plan.realPerSecond() == 0 ? -1 : real.requests(),
        real.lost(),
        real.draining().late(),
        real.died(),
        made.size(),
        killed,
        killed ? changesAfter : 0,
        settingsSent,
        settingsAgree(),
        settingsSent > 0 ? plan.agents() : 0);
  }

  /** What the agents have counted and cost in all, by names that tell the unit. */
  ObjectNode totals() throws IOException {
    ObjectNode totals = Json.MAPPER.createObjectNode();
    JsonNode counts = hollow.report();
    totals.setAll((ObjectNode) counts);
    double resident = ProcessFigures.residentMb(hollow.pid());
    totals
        .put("hollow_resident_mb", round(resident))
        .put(
            "hollow_resident_kb_each",
            round((resident - emptyResidentMb) * KB / Math.max(1, plan.hollow())))
        .put(
            "hollow_heap_kb_each",
            round((hollow.heapBytes() - emptyHeapBytes) / KB / Math.max(1, plan.hollow())))
        .put("discovery_resident_mb", round(ProcessFigures.residentMb(discovery.pid())));
    real.totals(totals);
    return totals;
  }

  static double round(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  @Override
  public void close() throws IOException {
    real.close();
    hollow.close();
    if (discovery != null) {
      discovery.close();
    }
  }
}
