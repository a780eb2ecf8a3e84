package slateslip.loadbalancer.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Counts what servers get although they have left: whatever comes later than the grace after the
 * last agent was told. It follows the order of events: a leave that is not told to all before the
 * server is back is not judged. Times are nanoseconds of one clock; one thread uses it.
 */
final class DrainMonitor {
  /** A server that has left, until it is back. */
  private static final class Leave {
    final long version;
    long notifiedAt;
    boolean notified;
    boolean judged;
    long sendsBefore;

    Leave(long version) {
      this.version = version;
    }
  }

  private final long graceNanos;

  /** What a server has got so far, by its name. */
  private final ToLongFunction<String> sends;

  private final Map<String, Leave> left = new HashMap<>();
  private long late;
  private long judged;

  /**
   * Nothing has left.
   *
   * @param graceNanos how long after the telling sends are permitted
   * @param sends how many requests a server has got so far
   */
  DrainMonitor(long graceNanos, ToLongFunction<String> sends) {
    this.graceNanos = graceNanos;
    this.sends = sends;
  }

  /** A server drains or goes with that version; one that has left before stays as it was. */
  void drainStartedAt(String server, long version) {
    left.putIfAbsent(server, new Leave(version));
  }

  /** It is there again, and may be sent to from now on. */
  void returns(String server) {
    Leave leave = left.remove(server);
    if (leave != null && leave.judged) {
      late += sends.applyAsLong(server) - leave.sendsBefore;
    }
  }

  /** The oldest version that not all agents are known to have; 0 if there is none. */
  long waitsFor() {
    return left.values().stream()
        .filter(each -> !each.notified)
        .mapToLong(each -> each.version)
        .min()
        .orElse(0);
  }

  /** All agents have that version, and by that all before it. */
  void notified(long version, long now) {
    left.values().stream()
        .filter(each -> !each.notified && each.version <= version)
        .forEach(
            each -> {
              each.notified = true;
              each.notifiedAt = now;
            });
  }

  /** Time has passed: what comes from now on to servers whose grace is over is late. */
  void pass(long now) {
    left.forEach(
        (server, leave) -> {
          if (leave.notified && !leave.judged && now - leave.notifiedAt > graceNanos) {
            leave.judged = true;
            leave.sendsBefore = sends.applyAsLong(server);
            judged++;
          }
        });
  }

  /** Late requests so far. */
  long late() {
    return late
        + left.entrySet().stream()
            .filter(each -> each.getValue().judged)
            .mapToLong(each -> sends.applyAsLong(each.getKey()) - each.getValue().sendsBefore)
            .sum();
  }

  /** How many leaves were judged. */
  long judged() {
    return judged;
  }
}
