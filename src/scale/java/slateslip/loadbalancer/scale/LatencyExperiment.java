package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import slateslip.loadbalancer.scale.BackendStandIns.Work;
import slateslip.loadbalancer.scale.ClientLoad.Kind;
import slateslip.loadbalancer.scale.ClientLoad.Outcome;
import slateslip.loadbalancer.scale.ClientLoad.Semantics;
import slateslip.loadbalancer.scale.ClientLoad.Stream;
import slateslip.loadbalancer.scale.RealAgents.RealAgent;

/**
 * The time that an agent adds to a call. Beside each agent's client run two that make the same
 * calls, at other moments, straight to the backends: one to compare with, and one to show how much
 * two equal streams differ on this machine.
 */
final class LatencyExperiment implements Experiment {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final double[] QUANTILES = {50, 90, 99, 99.9};
  private static final List<String> WAYS = List.of("agent", "direct", "again");

  /** What may be added for 99 in 100, in milliseconds. */
  private static final double TARGET_MS = 0.45;

  private static final int THREADS = 2;
  private static final int SPARE_SECONDS = 90;

  private final Path root;
  private final Path template;
  private final int agents;
  private final int backends;
  private final int listed;
  private final double perSecond;
  private final int groupSize;
  private final int warmSeconds;
  private final int measureSeconds;
  private final int intervalSeconds;
  private final int seed;
  private final List<Kind> kinds = new ArrayList<>();
  private final Map<String, Work> works = new LinkedHashMap<>();

  LatencyExperiment(Keys keys) {
    root = Path.of(keys.text("root", ".")).toAbsolutePath();
    template = root.resolve(keys.text("agent-config", "src/scale/experiments/agent.json"));
    agents = keys.full("agents", 8, 1, 100);
    backends = keys.full("backends", 16, 1, 1000);
    listed = keys.full("listed", backends, backends, 50_000);
    perSecond = keys.number("calls-per-second", 49, 1, 1000);
    warmSeconds = keys.full("warm-s", 20, 0, 600);
    groupSize = keys.full("group-size", agents, 1, 50_000);
    measureSeconds = keys.full("measure-s", 60, 1, 3600);
    intervalSeconds = keys.full("interval-s", 10, 1, 600);
    seed = keys.full("seed", 1, 0, Integer.MAX_VALUE);
    for (Keys each : keys.list("classes")) {
      String name = each.text("name", null);
      String semantics = each.word("semantics", null, Set.of("safe", "keyed", "unsafe"));
      kinds.add(
          new Kind(
              name,
              Semantics.valueOf(semantics.toUpperCase(Locale.ROOT)),
              each.number("share", 1, 0, 1000),
              each.full("timeout-ms", 3_000, 1, 60_000)));
      works.put(name, new Work(each.number("median-us", 0, 0, 1e7), each.number("sigma", 0, 0, 3)));
    }
    if (kinds.isEmpty()) {
      throw keys.bad("classes", "holds no class");
    }
  }

  @Override
  public int limitSeconds() {
    return warmSeconds + measureSeconds + SPARE_SECONDS;
  }

  @Override
  public void play(Report report, Children children) throws Exception {
    JsonNode notified = Json.read(Files.readString(template));
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    EventLoopGroup servers = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    try (var stands =
            new BackendStandIns(
                servers, new BackendStandIns.Options(works, Integer.MAX_VALUE, 0, 1, 0, seed));
        var discovery =
            new DiscoveryStandIn(servers, ANY_PORT, DiscoveryStandIn.Options.fast(new Spread()));
        var real = new RealAgents(children, root)) {
      for (int i = 0; i < backends; i++) {
        stands.add(ANY_PORT);
      }
      List<InetSocketAddress> straight =
          stands.all().stream().map(BackendStandIns.Backend::address).toList();
      discovery.replace(Fleet.entries(listed, straight));
      for (int i = 0; i < agents; i++) {
        real.start(
            "n" + i,
            new RealAgents.Told(notified, "127.0.0.1:0", discovery.address(), groupSize, i));
      }
      List<InetSocketAddress> at = new ArrayList<>();
      for (RealAgent each : real.all()) {
        at.add(each.awaitReady());
      }
      report.line("ready", Map.of("agents", agents, "backends", backends, "listed", listed));
      load(clients, "w", at, straight, warmSeconds, report, new Latencies(0));
      Latencies latencies = new Latencies((int) (2 * measureSeconds * perSecond) + 100);
      double cpu = cpu(real);
      ClientLoad load = load(clients, "m", at, straight, measureSeconds, report, latencies);
      double share = (cpu(real) - cpu) / measureSeconds / agents;
      tell(report, load, latencies, share);
    } finally {
      clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      servers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static double cpu(RealAgents real) {
    return real.all().stream().mapToDouble(each -> ProcessFigures.cpuSeconds(each.pid())).sum();
  }

  /**
   * By stream and number of the call, in nanoseconds; 0 where not served. Written by event loops.
   */
  private final class Latencies {
    private final long[][] nanos;

    Latencies(int max) {
      nanos = new long[WAYS.size() * agents][max];
    }

    void done(int stream, long number, Outcome outcome, long spent) {
      if (outcome == Outcome.SERVED && number < nanos[stream].length) {
        nanos[stream][(int) number] = spent;
      }
    }

    /** How much longer each call took one way than the other, sorted, in milliseconds. */
    double[] differences(int way, int other) {
      double[] all = new double[agents * nanos[0].length];
      int n = 0;
      for (int agent = 0; agent < agents; agent++) {
        long[] one = nanos[WAYS.size() * agent + way];
        long[] two = nanos[WAYS.size() * agent + other];
        for (int i = 0; i < one.length; i++) {
          if (one[i] > 0 && two[i] > 0) {
            all[n++] = (one[i] - two[i]) / 1e6;
          }
        }
      }
      double[] differences = Arrays.copyOf(all, n);
      Arrays.sort(differences);
      return differences;
    }
  }

  private ClientLoad load(
      EventLoopGroup group,
      String phase,
      List<InetSocketAddress> at,
      List<InetSocketAddress> straight,
      int seconds,
      Report report,
      Latencies into)
      throws InterruptedException {
    long third = (long) (1e9 / perSecond / WAYS.size());
    List<Stream> streams = new ArrayList<>();
    for (int agent = 0; agent < agents; agent++) {
      for (int way = 0; way < WAYS.size(); way++) {
        List<InetSocketAddress> to = way == 0 ? List.of(at.get(agent)) : straight;
        streams.add(
            new Stream(
                phase + agent + WAYS.get(way), to, perSecond, 1000L * seed + agent, way * third));
      }
    }
    try (ClientLoad load = new ClientLoad(group, streams, kinds, into::done)) {
      load.begin();
      for (int left = seconds; left > 0; left -= intervalSeconds) {
        TimeUnit.SECONDS.sleep(Math.min(left, intervalSeconds));
        Map<String, Object> line = new LinkedHashMap<>();
        for (int way = 0; way < WAYS.size(); way++) {
          Histogram latencies = latencies(load, way);
          line.put(WAYS.get(way) + "_p50_ms", millis(latencies, 50));
          line.put(WAYS.get(way) + "_p99_ms", millis(latencies, 99));
        }
        line.put("ended", load.counts());
        report.line(phase.equals("w") ? "warming" : "measuring", line);
      }
      return load;
    }
  }

  private Histogram latencies(ClientLoad load, int way) {
    Histogram sum = load.latencies(way);
    for (int agent = 1; agent < agents; agent++) {
      sum.add(load.latencies(WAYS.size() * agent + way));
    }
    return sum;
  }

  private static Double millis(Histogram nanos, double quantile) {
    return Report.rounded(nanos.getValueAtPercentile(quantile) / 1e6, 3);
  }

  private void tell(Report report, ClientLoad load, Latencies latencies, double share) {
    List<List<String>> rows = new ArrayList<>();
    Histogram direct = latencies(load, 1);
    Histogram agent = latencies(load, 0);
    Histogram again = latencies(load, 2);
    double[] paired = latencies.differences(0, 1);
    double[] floor = latencies.differences(2, 1);
    for (double each : QUANTILES) {
      double one = direct.getValueAtPercentile(each) / 1e6;
      double two = agent.getValueAtPercentile(each) / 1e6;
      double three = again.getValueAtPercentile(each) / 1e6;
      rows.add(
          List.of(
              Report.number(each, 1),
              Report.number(one, 3),
              Report.number(two, 3),
              Report.number(two / one, 2),
              Report.number(two - one, 3),
              Report.number(TARGET_MS, 2),
              Report.number(three - one, 3),
              Report.number(quantile(paired, each), 3),
              Report.number(quantile(floor, each), 3)));
    }
    report.table(
        "time from the intended start, ms; "
            + agent.getTotalCount()
            + " calls through "
            + agents
            + " agents, "
            + direct.getTotalCount()
            + " straight and as many again; "
            + listed
            + " servers listed; "
            + paired.length
            + " pairs",
        List.of(
            "in 100",
            "direct",
            "agent",
            "ratio",
            "added",
            "target",
            "direct again - direct",
            "added to each",
            "again to each"),
        rows);
    List<List<String>> ends = new ArrayList<>();
    for (int way = 0; way < WAYS.size(); way++) {
      List<String> row = new ArrayList<>(List.of(WAYS.get(way)));
      for (Outcome each : Outcome.values()) {
        long sum = 0;
        for (int i = 0; i < agents; i++) {
          sum += load.counts(WAYS.size() * i + way).get(each);
        }
        row.add(Long.toString(sum));
      }
      ends.add(row);
    }
    List<String> header = new ArrayList<>(List.of("calls"));
    for (Outcome each : Outcome.values()) {
      header.add(each.name().toLowerCase(Locale.ROOT));
    }
    report.table("how they ended", header, ends);
    Histogram late = load.lateness();
    report.table(
        "of it the clients' own late starts, ms; and an agent's processor time",
        List.of("median", "99 in 100", "99.9 in 100", "% of a core"),
        List.of(
            List.of(
                Report.number(late.getValueAtPercentile(50) / 1e6, 3),
                Report.number(late.getValueAtPercentile(99) / 1e6, 3),
                Report.number(late.getValueAtPercentile(99.9) / 1e6, 3),
                Report.number(100 * share, 2))));
  }

  private static double quantile(double[] sorted, double percent) {
    int rank = (int) Math.ceil(percent / 100 * sorted.length) - 1;
    return rank < 0 ? Double.NaN : sorted[rank];
  }
}
