package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import slateslip.loadbalancer.scale.ServerEntry.Status;

/**
 * What control costs a real agent against the number of servers listed: one agent, its own
 * discovery and backends for each point, in an order shuffled for each round. A line is fitted to
 * all sizes but one, which it then predicts.
 */
final class SlopesExperiment implements Experiment {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  /** Nobody listens there: connections are refused at once. */
  private static final InetSocketAddress NOBODY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private static final int PORTS = 4;
  private static final int THREADS = 4;
  private static final int SPARE_SECONDS = 20;
  private static final int AGAIN_SECONDS = 4;

  /** What is measured of an agent. */
  private enum Figure {
    START("CPU until start-s, s", Sample::startCpu, 2),
    STEADY("steady CPU, % of a core", Sample::share, 2),
    RESIDENT("resident memory, MB", Sample::residentMb, 1),
    HEAP("live heap, MB", Sample::heapMb, 2),
    FIRST("control bytes until start-s, kB", Sample::firstKb, 1),
    CALLS("calls to discovery, 1/s", Sample::calls, 2),
    BYTES("control bytes, B/s", Sample::bytes, 0),
    PROBES("probes answered, 1/s", Sample::probes, 2),
    AGAIN("CPU for another whole list, s", Sample::againCpu, 2),
    AGAIN_HAS("until it has that, ms", Sample::againMs, 0);

    private final String title;

    @SuppressWarnings("ImmutableEnumChecker") // the functions have no state
    private final ToDoubleFunction<Sample> of;

    private final int places;

    Figure(String title, ToDoubleFunction<Sample> of, int places) {
      this.title = title;
      this.of = of;
      this.places = places;
    }
  }

  /**
   * Of one agent: processor time until start-s, in seconds; share of a core in the steady time;
   * memory; bytes from and to discovery until start-s; then calls, bytes and probes a second; then
   * processor time for another whole list while the first is held, and until it has that, not a
   * number if it never has.
   */
  private record Sample(
      double startCpu,
      double share,
      double residentMb,
      double heapMb,
      double firstKb,
      double calls,
      double bytes,
      double probes,
      double againCpu,
      double againMs) {}

  /**
   * What an agent is given beside the size.
   *
   * @param fleet whether its settings say that as many agents share the servers as there are
   *     servers; else it is alone and probes them all by itself
   * @param changes changed entries a second
   * @param reachable whether probes are answered; else connections are refused
   */
  private record Case(boolean fleet, int changes, boolean reachable) {
    @Override
    public String toString() {
      return "group "
          + (fleet ? "N" : "1")
          + ", "
          + changes
          + " changes/s, "
          + (reachable ? "reachable" : "refused");
    }
  }

  private record Point(Case in, int size) {}

  private final Path root;
  private final Path template;
  private final Path plots;
  private final List<Integer> sizes;
  private final int validationPoints;
  private final List<Case> cases = new ArrayList<>();
  private final int rounds;
  private final int atOnce;
  private final int startSeconds;
  private final int stabilizeSeconds;
  private final int measureSeconds;
  private final int seed;
  private final Map<Point, List<Sample>> samples = new LinkedHashMap<>();

  SlopesExperiment(Keys keys) {
    root = Path.of(keys.text("root", ".")).toAbsolutePath();
    template = root.resolve(keys.text("agent-config", "src/scale/experiments/agent.json"));
    plots = root.resolve(keys.text("plots", "target/slopes"));
    sizes = keys.wholes("sizes", List.of(16, 160, 1000, 18_000), 1, 50_000);
    validationPoints = keys.full("held-out", 5_000, 0, 50_000);
    if (new TreeSet<>(sizes).size() < 2) {
      throw keys.bad("sizes", "holds no two different sizes: " + sizes);
    }
    rounds = keys.full("rounds", 3, 1, 100);
    atOnce = keys.full("at-once", 2, 1, 8);
    startSeconds = keys.full("start-s", 8, 1, 600);
    stabilizeSeconds = keys.full("settle-s", 2, 0, 600);
    measureSeconds = keys.full("measure-s", 10, 1, 600);
    seed = keys.full("seed", 1, 0, Integer.MAX_VALUE);
    for (Keys each : keys.list("cases")) {
      boolean fleet = each.word("group", "N", Set.of("1", "N")).equals("N");
      boolean reachable =
          each.word("backends", "reachable", Set.of("reachable", "refused")).equals("reachable");
      cases.add(new Case(fleet, each.full("changes-per-s", 0, 0, 100), reachable));
    }
    if (cases.isEmpty()) {
      throw keys.bad("cases", "holds no case");
    }
  }

  @Override
  public int limitSeconds() {
    int batches = rounds * ((sizes.size() + 1) * cases.size() / atOnce + 1);
    return batches * (startSeconds + stabilizeSeconds + measureSeconds + SPARE_SECONDS);
  }

  @Override
  public void play(Report report, Children children) throws Exception {
    JsonNode notified = Json.read(Files.readString(template));
    List<Point> points = new ArrayList<>();
    for (Case in : cases) {
      sizes.forEach(size -> points.add(new Point(in, size)));
      if (validationPoints > 0) {
        points.add(new Point(in, validationPoints));
      }
    }
    points.forEach(each -> samples.put(each, new ArrayList<>()));
    Random random = new Random(seed);
    ExecutorService players = Executors.newFixedThreadPool(atOnce);
    try {
      for (int round = 0; round < rounds; round++) {
        Collections.shuffle(points, random);
        for (int from = 0; from < points.size(); from += atOnce) {
          batch(
              points.subList(from, Math.min(points.size(), from + atOnce)),
              round,
              notified,
              players,
              report,
              children);
        }
      }
    } finally {
      players.shutdownNow();
    }
    tell(report);
  }

  private void batch(
      List<Point> points,
      int round,
      JsonNode notified,
      ExecutorService players,
      Report report,
      Children children)
      throws InterruptedException {
    Map<Point, Future<Sample>> playing = new LinkedHashMap<>();
    List<String> log = new CopyOnWriteArrayList<>();
    points.forEach(
        each -> playing.put(each, players.submit(() -> sample(each, notified, children, log))));
    for (Map.Entry<Point, Future<Sample>> each : playing.entrySet()) {
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("round", round);
      line.put("case", each.getKey().in().toString());
      line.put("servers", each.getKey().size());
      try {
        Sample sample = each.getValue().get();
        samples.get(each.getKey()).add(sample);
        for (Figure figure : Figure.values()) {
          line.put(figure.title, Report.rounded(figure.of.applyAsDouble(sample), 3));
        }
      } catch (ExecutionException e) {
        line.put("failed", String.valueOf(e.getCause()));
      }
      report.line("point", line);
    }
    if (!log.isEmpty()) {
      report.line("no second list", Map.of("log", log));
    }
  }

  private Sample sample(Point point, JsonNode settings, Children children, List<String> log)
      throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    Spread spread = new Spread();
    try (var stands = new BackendStandIns(group, BackendStandIns.Options.atOnce());
        var discovery =
            new DiscoveryStandIn(group, ANY_PORT, DiscoveryStandIn.Options.fast(spread));
        var real = new RealAgents(children, root)) {
      List<InetSocketAddress> at = new ArrayList<>();
      for (int i = 0; i < PORTS; i++) {
        at.add(point.in().reachable() ? stands.add(ANY_PORT).address() : NOBODY);
      }
      List<ServerEntry> entries = Fleet.entries(point.size(), at);
      discovery.replace(entries);
      var agent =
          real.start(
              "n0",
              new RealAgents.Told(
                  settings,
                  "127.0.0.1:0",
                  discovery.address(),
                  point.in().fleet() ? point.size() : 1,
                  0));
      Changes changes = new Changes(discovery, entries, point.in().changes());
      changes.until(agent.startedAt() + TimeUnit.SECONDS.toNanos(startSeconds));
      double startCpu = ProcessFigures.cpuSeconds(agent.pid());
      long first = bytes(discovery.counts());
      agent.awaitReady();
      long from = System.nanoTime() + TimeUnit.SECONDS.toNanos(stabilizeSeconds);
      changes.until(from);
      double cpu = ProcessFigures.cpuSeconds(agent.pid());
      var before = discovery.counts();
      long probes = stands.counts().probes();
      from = System.nanoTime();
      changes.until(from + TimeUnit.SECONDS.toNanos(measureSeconds));
      double seconds = (System.nanoTime() - from) / 1e9;
      double share = (ProcessFigures.cpuSeconds(agent.pid()) - cpu) / seconds;
      var after = discovery.counts();
      double responded = (stands.counts().probes() - probes) / seconds;
      double resident = ProcessFigures.residentMb(agent.pid());
      if (!agent.isAlive()) {
        throw new IOException("the agent has ended: " + agent.log());
      }
      double heap = ProcessFigures.liveHeapMb(children, agent.pid());
      cpu = ProcessFigures.cpuSeconds(agent.pid());
      long notified = System.nanoTime();
      long version = discovery.replace(entries);
      TimeUnit.SECONDS.sleep(AGAIN_SECONDS);
      double again = ProcessFigures.cpuSeconds(agent.pid()) - cpu - share * AGAIN_SECONDS;
      double has = spread.of(version, notified).last();
      if (Double.isNaN(has)) {
        log.addAll(agent.log());
      }
      return new Sample(
          startCpu,
          100 * share,
          resident,
          heap,
          first / 1e3,
          (after.calls() - before.calls()) / seconds,
          (bytes(after) - bytes(before)) / seconds,
          responded,
          again,
          has);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static long bytes(DiscoveryStandIn.Counts counts) {
    return counts.bytesIn() + counts.bytesOut();
  }

  /** Changes entries in turn at an even pace: leaving, then ready again. */
  private static final class Changes {
    private final DiscoveryStandIn discovery;
    private final List<ServerEntry> entries;
    private final long gapNanos;
    private int made;
    private long nextAt = System.nanoTime();

    Changes(DiscoveryStandIn discovery, List<ServerEntry> entries, int perSecond) {
      this.discovery = discovery;
      this.entries = entries;
      this.gapNanos = perSecond == 0 ? Long.MAX_VALUE / 4 : TimeUnit.SECONDS.toNanos(1) / perSecond;
      this.nextAt += gapNanos;
    }

    void until(long end) throws InterruptedException {
      while (nextAt < end) {
        sleep(nextAt);
        ServerEntry entry = entries.get(made / 2 % entries.size());
        discovery.change(List.of(made % 2 == 0 ? entry.with(Status.TERMINATING, 0) : entry));
        made++;
        nextAt += gapNanos;
      }
      sleep(end);
    }

    private static void sleep(long until) throws InterruptedException {
      TimeUnit.NANOSECONDS.sleep(until - System.nanoTime());
    }
  }

  private void tell(Report report) throws IOException {
    for (Figure figure : Figure.values()) {
      List<List<String>> rows = new ArrayList<>();
      for (Case in : cases) {
        rows.add(slope(figure, in).row(in.toString(), figure.places));
      }
      report.table(
          figure.title + ": least to most of " + rounds + " rounds",
          Slope.header("case", allSizes(), validationPoints),
          rows);
      plot(figure);
    }
    report.line("plots", Map.of("in", plots.toString()));
  }

  private Set<Integer> allSizes() {
    Set<Integer> all = new TreeSet<>(sizes);
    if (validationPoints > 0) {
      all.add(validationPoints);
    }
    return all;
  }

  private Slope slope(Figure figure, Case in) {
    Slope slope = new Slope(validationPoints);
    for (int size : allSizes()) {
      slope.add(size, Double.NaN); // a size whose runs all failed keeps its column
      samples
          .get(new Point(in, size))
          .forEach(each -> slope.add(size, figure.of.applyAsDouble(each)));
    }
    return slope;
  }

  private void plot(Figure figure) throws IOException {
    Plot plot = new Plot(figure.title);
    boolean any = false;
    for (Case in : cases) {
      Slope slope = slope(figure, in);
      double[] x =
          allSizes().stream()
              .mapToDouble(size -> size)
              .filter(size -> slope.mean((int) size) > 0)
              .toArray();
      if (x.length > 0) {
        any = true;
        plot.add(
            in.toString(), x, DoubleStream.of(x).map(size -> slope.mean((int) size)).toArray());
      }
    }
    if (any) {
      plot.write(plots.resolve(figure.name().toLowerCase(Locale.ROOT) + ".png"));
    }
  }
}
