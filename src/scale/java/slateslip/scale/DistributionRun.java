package slateslip.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import slateslip.loadbalancer.scale.ProcessFigures;

/**
 * One size: real control agents, hollow data planes and backends, versions one after the other, an
 * agent killed.
 */
final class DistributionRun {
  private static final int LOOPS = 2;
  private static final int ROUTES = 20;
  private static final long WAIT_MILLIS = 120_000;
  private static final long POLL_MILLIS = 5;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long STEADY_MILLIS = 10_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  private final Path folder;
  private final Path jar;
  private final RunSize size;

  DistributionRun(Path folder, Path jar, RunSize size) {
    this.folder = folder;
    this.jar = jar;
    this.size = size;
  }

  /** Plays it; ends all that it started. */
  RunResult play() throws IOException, InterruptedException {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    try (ControlCluster cluster = new ControlCluster(folder, jar, size.agents());
        HollowBackends backends = new HollowBackends(cluster, size.backends())) {
      return play(cluster, backends, fleet(loops, cluster));
    } finally {
      loops.shutdownGracefully();
    }
  }

  private List<HollowDataPlane> fleet(EventLoopGroup loops, ControlCluster cluster) {
    List<String> agents =
        IntStream.range(0, cluster.size()).mapToObj(ControlCluster::host).toList();
    return IntStream.range(0, size.dataPlanes())
        .mapToObj(
            number -> new HollowDataPlane(loops.next(), number, agents, cluster.internalPort()))
        .toList();
  }

  private RunResult play(
      ControlCluster cluster, HollowBackends backends, List<HollowDataPlane> fleet)
      throws IOException, InterruptedException {
    Operator operator = new Operator(cluster);
    operator.put(1, ROUTES);
    backends.start(HEARTBEAT_MILLIS);
    fleet.forEach(HollowDataPlane::start);
    await("all have version 1", () -> fleet.stream().allMatch(each -> each.version() == 1));
    await(
        "all know all backends",
        () -> fleet.stream().allMatch(each -> each.backends() == size.backends()));
    Steady steady = steady(cluster, backends, fleet);
    List<Double> times = versions(operator, fleet, 1, 1 + size.changes());
    double residentMb = cluster.residentMb()[0];
    cluster.kill(cluster.size() - 1);
    List<Double> afterKill =
        cluster.size() > 1
            ? versions(operator, fleet, 1 + size.changes(), 2 + size.changes())
            : List.of();
    return new RunResult(
        size,
        Quantiles.of(times),
        Quantiles.of(afterKill),
        steady.cpuPercent(),
        steady.fleetCpuPercent(),
        steady.bytesPerSecond(),
        steady.acknowledged(),
        residentMb,
        ProcessFigures.loadAverage());
  }

  /** What a time without changes costs. */
  private record Steady(
      double cpuPercent, double fleetCpuPercent, double bytesPerSecond, long acknowledged) {}

  private Steady steady(
      ControlCluster cluster, HollowBackends backends, List<HollowDataPlane> fleet)
      throws InterruptedException {
    double cpuBefore = sum(cluster.cpuSeconds());
    double fleetCpuBefore = ProcessFigures.cpuSeconds(ProcessHandle.current().pid());
    long bytesBefore = bytes(fleet);
    long heartbeatsBefore = backends.acknowledged();
    long before = System.nanoTime();
    Thread.sleep(STEADY_MILLIS);
    double seconds = (System.nanoTime() - before) / NANOS_PER_MILLI / 1_000;
    return new Steady(
        PERCENT * (sum(cluster.cpuSeconds()) - cpuBefore) / seconds / cluster.size(),
        PERCENT
            * (ProcessFigures.cpuSeconds(ProcessHandle.current().pid()) - fleetCpuBefore)
            / seconds
            / fleet.size(),
        (bytes(fleet) - bytesBefore) / seconds / fleet.size(),
        backends.acknowledged() - heartbeatsBefore);
  }

  private static long bytes(List<HollowDataPlane> fleet) {
    return fleet.stream().mapToLong(HollowDataPlane::receivedBytes).sum();
  }

  private static double sum(double[] values) {
    return Arrays.stream(values).sum();
  }

  /** From the call until each data plane has each version in force, in milliseconds. */
  private static List<Double> versions(
      Operator operator, List<HollowDataPlane> fleet, long from, long to)
      throws IOException, InterruptedException {
    List<Double> times = new ArrayList<>();
    for (long version = from; version < to; version++) {
      long next = version + 1;
      long called = System.nanoTime();
      operator.patch(version, next);
      await(
          "all have version " + next,
          () -> fleet.stream().allMatch(each -> each.version() == next));
      fleet.forEach(each -> times.add((each.versionNanos() - called) / NANOS_PER_MILLI));
    }
    return times;
  }

  private static void await(String what, BooleanSupplier done)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + (long) (WAIT_MILLIS * NANOS_PER_MILLI);
    while (!done.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new IOException("not in " + WAIT_MILLIS + " ms: " + what);
      }
      Thread.sleep(POLL_MILLIS);
    }
  }
}
