package slateslip.loadbalancer.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import slateslip.loadbalancer.scale.ServerEntry.Status;

/**
 * What the stand-in for discovery spends, a process of its own, against the number of its watchers:
 * on whole lists when all come at once, on renewing idle watches, and on telling changes. It is
 * what one process with one event loop and shared answers can do; a tier that distributes lists
 * from memory would do it so.
 */
final class WatchersExperiment implements Experiment {
  private static final int THREADS = 2;
  private static final int HERD_SECONDS = 120;
  private static final int SPARE_SECONDS = 20;
  private static final long POLL_MS = 2;
  private static final int WARM_WATCHERS = 100;
  private static final InetSocketAddress NOBODY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  /** What is measured. */
  private enum Figure {
    HERD("all come at once: until the last has the whole list, s", 3),
    FULL("CPU for a whole list, ms", 3),
    IDLE("steady CPU without changes, % of a core", 2),
    RENEWAL("CPU for a renewed watch, us", 1),
    BUSY("steady CPU with changes, % of a core", 2),
    NOTIFIED("CPU for an answer with a change, us", 1),
    RESIDENT("resident memory, MB", 1),
    LAST("until the last watcher has a change, ms", 1);

    private final String title;
    private final int places;

    Figure(String title, int places) {
      this.title = title;
      this.places = places;
    }
  }

  private final List<Integer> sizes;
  private final int validationPoints;
  private final int servers;
  private final int waitMs;
  private final int changes;
  private final int measureSeconds;
  private final int rounds;
  private final int warmResponses;

  WatchersExperiment(Keys keys) {
    sizes = keys.wholes("watchers", List.of(16, 160, 1600), 1, 8_000);
    if (new TreeSet<>(sizes).size() < 2) {
      throw keys.bad("watchers", "holds no two different sizes: " + sizes);
    }
    validationPoints = keys.full("held-out", 500, 0, 8_000);
    servers = keys.full("servers", 1_000, 1, 50_000);
    waitMs = keys.full("wait-ms", 5_000, 100, 60_000);
    changes = keys.full("changes-per-s", 1, 1, 100);
    measureSeconds = keys.full("measure-s", 10, 1, 600);
    rounds = keys.full("rounds", 3, 1, 100);
    warmResponses = keys.full("warm-answers", 100_000, 0, 1_000_000);
  }

  @Override
  public int limitSeconds() {
    return rounds * (sizes.size() + 1) * (HERD_SECONDS + 2 * measureSeconds + SPARE_SECONDS);
  }

  @Override
  public void play(Report report, Children children) throws Exception {
    Set<Integer> all = new TreeSet<>(sizes);
    if (validationPoints > 0) {
      all.add(validationPoints);
    }
    Map<Figure, Slope> slopes = new EnumMap<>(Figure.class);
    for (Figure figure : Figure.values()) {
      slopes.put(figure, new Slope(validationPoints));
    }
    for (int round = 0; round < rounds; round++) {
      for (int size : all) {
        Map<Figure, Double> point = point(size, children);
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("round", round);
        line.put("watchers", size);
        point.forEach(
            (figure, value) -> {
              slopes.get(figure).add(size, value);
              line.put(figure.title, Report.rounded(value, 3));
            });
        report.line("point", line);
      }
    }
    List<List<String>> rows = new ArrayList<>();
    slopes.forEach((figure, slope) -> rows.add(slope.row(figure.title, figure.places)));
    report.table(
        "discovery's stand-in, "
            + servers
            + " servers listed, watches of "
            + waitMs
            + " ms, "
            + changes
            + " changes/s: least to most of "
            + rounds
            + " rounds",
        Slope.header("against the number of watchers", all, validationPoints),
        rows);
  }

  private Map<Figure, Double> point(int size, Children children)
      throws IOException, InterruptedException {
    Map<Figure, Double> point = new EnumMap<>(Figure.class);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    try (DiscoveryProcess discovery = new DiscoveryProcess(children, List.of());
        Watchers watchers = new Watchers(group, discovery.address(), waitMs)) {
      List<ServerEntry> entries = Fleet.entries(servers, List.of(NOBODY));
      discovery.replace(entries);
      warm(group, discovery, Math.min(size, WARM_WATCHERS), entries);
      double cpu = ProcessFigures.cpuSeconds(discovery.pid());
      long from = System.nanoTime();
      watchers.add(size);
      long until = from + TimeUnit.SECONDS.toNanos(HERD_SECONDS);
      while (watchers.wholes() < size) {
        Thread.sleep(POLL_MS);
        if (watchers.broken() > 0 || System.nanoTime() - until > 0) {
          throw new IOException(
              "of "
                  + size
                  + " watchers "
                  + watchers.wholes()
                  + " have a list, "
                  + watchers.broken()
                  + " broke: "
                  + watchers.why());
        }
      }
      point.put(Figure.HERD, (System.nanoTime() - from) / 1e9);
      point.put(Figure.FULL, 1e3 * (ProcessFigures.cpuSeconds(discovery.pid()) - cpu) / size);
      TimeUnit.MILLISECONDS.sleep(waitMs); // the watches' ends spread as they have come
      steady(point, discovery, watchers, 0, entries, Figure.IDLE, Figure.RENEWAL);
      steady(point, discovery, watchers, changes, entries, Figure.BUSY, Figure.NOTIFIED);
      point.put(Figure.RESIDENT, ProcessFigures.residentMb(discovery.pid()));
      if (watchers.broken() > 0) {
        throw new IOException(watchers.broken() + " of " + size + " watchers broke");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    return point;
  }

  /** Has it answer until its code is compiled: what a process spends on that is not a slope. */
  private void warm(
      EventLoopGroup group, DiscoveryProcess discovery, int watching, List<ServerEntry> entries)
      throws IOException, InterruptedException {
    try (Watchers watchers = new Watchers(group, discovery.address(), waitMs)) {
      watchers.add(watching);
      while (watchers.responses() < warmResponses && watchers.broken() == 0) {
        discovery.change(List.of(entries.get(0)));
        Thread.sleep(POLL_MS);
      }
    }
  }

  private void steady(
      Map<Figure, Double> point,
      DiscoveryProcess discovery,
      Watchers watchers,
      int perSecond,
      List<ServerEntry> entries,
      Figure share,
      Figure each)
      throws IOException, InterruptedException {
    double cpu = ProcessFigures.cpuSeconds(discovery.pid());
    long responses = watchers.responses();
    long from = System.nanoTime();
    int made = 0;
    long notified = 0;
    long version = 0;
    for (int i = 0; i < measureSeconds * Math.max(1, perSecond); i++) {
      if (perSecond > 0) {
        ServerEntry entry = entries.get(made / 2 % entries.size());
        ServerEntry changed = made % 2 == 0 ? entry.with(Status.TERMINATING, 0) : entry;
        var reply = discovery.change(List.of(changed));
        notified = reply.path("told").asLong();
        version = reply.path("version").asLong();
        made++;
      }
      TimeUnit.NANOSECONDS.sleep(TimeUnit.SECONDS.toNanos(1) / Math.max(1, perSecond));
    }
    double spent = ProcessFigures.cpuSeconds(discovery.pid()) - cpu;
    point.put(share, 100 * spent / ((System.nanoTime() - from) / 1e9));
    point.put(each, 1e6 * spent / (watchers.responses() - responses));
    if (made > 0) {
      var reply = discovery.ask(Map.of("command", "spread", "version", version, "told", notified));
      point.put(Figure.LAST, reply.path("spread").path("last").asDouble(Double.NaN));
    }
  }
}
