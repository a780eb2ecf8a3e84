package slateslip.loadbalancer.scale;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What discovery has been asked for, over all its processes: sums, and the peak of its calls.
 * Samples come from one thread; times are nanoseconds of one clock.
 */
final class DiscoveryMeter {
  /** Sums since the first sample. */
  record Sums(
      long calls,
      long wholes,
      long deltas,
      long empties,
      long refused,
      long bytesIn,
      long bytesOut,
      double cpuSeconds) {
    static final Sums NONE = new Sums(0, 0, 0, 0, 0, 0, 0, 0);

    /** Of what discovery's process says, and its processor time. */
    static Sums of(DiscoveryStandIn.Counts counts, double cpuSeconds) {
      return new Sums(
          counts.calls(),
          counts.wholes(),
          counts.deltas(),
          counts.empties(),
          counts.refused(),
          counts.bytesIn(),
          counts.bytesOut(),
          cpuSeconds);
    }

    Sums plus(Sums other) {
      return new Sums(
          calls + other.calls,
          wholes + other.wholes,
          deltas + other.deltas,
          empties + other.empties,
          refused + other.refused,
          bytesIn + other.bytesIn,
          bytesOut + other.bytesOut,
          cpuSeconds + other.cpuSeconds);
    }

    Sums minus(Sums other) {
      return new Sums(
          calls - other.calls,
          wholes - other.wholes,
          deltas - other.deltas,
          empties - other.empties,
          refused - other.refused,
          bytesIn - other.bytesIn,
          bytesOut - other.bytesOut,
          cpuSeconds - other.cpuSeconds);
    }

    /** What comes and goes: calls in, answers out. */
    long bytes() {
      return bytesIn + bytesOut;
    }
  }

  private record Sample(long at, long calls) {}

  private static final long SECOND = 1_000_000_000;

  private final Deque<Sample> lastSecond = new ArrayDeque<>();

  /** Of the processes that have ended. */
  private Sums ended = Sums.NONE;

  private Sums running = Sums.NONE;
  private double peak;

  /** What the process that runs now has counted since its start. */
  void sample(long at, DiscoveryStandIn.Counts counts, double cpuSeconds) {
    running = Sums.of(counts, cpuSeconds);
    long calls = sums().calls();
    lastSecond.addLast(new Sample(at, calls));
    while (at - lastSecond.peekFirst().at > SECOND) {
      lastSecond.removeFirst();
    }
    peak = Math.max(peak, (double) (calls - lastSecond.peekFirst().calls));
  }

  /** The process has ended; the next sample is of another. */
  void ended() {
    ended = sums();
    running = Sums.NONE;
  }

  Sums sums() {
    return ended.plus(running);
  }

  /**
   * The most calls that came between two samples no more than a second apart, since this was last
   * asked.
   */
  double takePeak() {
    double max = peak;
    peak = 0;
    while (lastSecond.size() > 1) {
      lastSecond.removeFirst(); // what came before is not counted again
    }
    return max;
  }
}
