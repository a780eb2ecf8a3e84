package slateslip.loadbalancer.net;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * Counts requests, attempts and connections, and reports the counts in a "tally:" log line every
 * few seconds, together with the details of one unserved request. After an incident the log thereby
 * shows how requests ended and after how many attempts. The volume is bounded: at most two lines
 * per period, however many requests arrive, and none while nothing happens.
 */
final class RequestStatistics {
  /** The interval between two reports, in seconds. */
  static final long PERIOD_SECONDS = 5;

  /** How many different reasons for malformed responses a report lists by name. */
  private static final int MAX_REASONS = 4;

  /** How a request ended for its client. */
  enum Disposition {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  private final Map<Disposition, Integer> dispositions = new EnumMap<>(Disposition.class);
  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private int unsent;
  private int givenUp;
  private int connectionsDialled;
  private int secondConnections;
  private int immediateResets;
  private int reusedConnectionResets;
  private int malformed;

  /**
   * The number of malformed responses by reason. The number of reasons is bounded because the texts
   * depend on input from backends.
   */
  private final Map<String, Integer> malformedReasons = new TreeMap<>();

  private long waitedMicros;
  private long maxWaitedMicros;

  /**
   * The description of the first refused or failed request of the period with its attempts, or
   * null.
   */
  private String unserved;

  /** The summary of the settings in force, if the settings have versions; otherwise empty. */
  private String settings = "";

  /** Sets the summary of the settings that each report ends with. */
  void setSettingsSummary(String summary) {
    settings = "; " + summary;
  }

  /** Counts a request that has its final response, and whether any attempt was made. */
  void recordCompleted(Disposition disposition, int attempts) {
    dispositions.merge(disposition, 1, Integer::sum);
    unsent += attempts == 0 && disposition != Disposition.LEFT ? 1 : 0;
  }

  /** Counts a request that the load balancer left without a response until its deadline. */
  void recordGivenUp() {
    givenUp++;
  }

  /** Returns whether no refused or failed request has been recorded in this period yet. */
  boolean wantsUnserved() {
    return unserved == null;
  }

  void recordUnserved(
      String id,
      String requestClass,
      String disposition,
      long micros,
      long timeoutMs,
      List<String> attempts) {
    unserved =
        "unserved: "
            + id
            + " "
            + requestClass
            + " "
            + disposition
            + " after "
            + micros / 1000
            + " of "
            + timeoutMs
            + " ms, attempts: "
            + (attempts.isEmpty() ? "none" : String.join("; ", attempts));
  }

  /** Counts an attempt that has ended. */
  void recordAttempt(Outcome outcome) {
    outcomes.merge(outcome, 1, Integer::sum);
  }

  /** Records the time, in microseconds, between the arrival of a request and its first attempt. */
  void recordWait(long micros) {
    waitedMicros += micros;
    maxWaitedMicros = Math.max(maxWaitedMicros, micros);
  }

  /**
   * Counts a connection that was reset during an attempt: whether it was a reused connection, and
   * whether the reset came immediately.
   */
  void recordReset(boolean reused, boolean immediate) {
    reusedConnectionResets += reused ? 1 : 0;
    immediateResets += immediate ? 1 : 0;
  }

  /** Counts a malformed response. Its attempt also counts as a reset. */
  void recordMalformed(String reason) {
    malformed++;
    malformedReasons.merge(
        malformedReasons.containsKey(reason) || malformedReasons.size() < MAX_REASONS
            ? reason
            : "other",
        1,
        Integer::sum);
  }

  /** Counts a connection to a backend that the agent starts to open. */
  void recordConnect() {
    connectionsDialled++;
  }

  /** Counts a second connection that the agent opens because the first one is late. */
  void recordSecondConnect() {
    secondConnections++;
  }

  /**
   * Returns the log lines for the period that ends now, or none if nothing happened, and starts a
   * new period.
   */
  List<String> takeLines(int open, int backendConnections) {
    int total = 0;
    StringBuilder line = new StringBuilder("tally:");
    for (Disposition disposition : Disposition.values()) {
      int count = dispositions.getOrDefault(disposition, 0);
      line.append(' ').append(lowerCaseName(disposition)).append(' ').append(count);
      total += count;
    }
    line.append(" (unsent ").append(unsent).append("), open ").append(open).append("; attempts:");
    int attempts = 0;
    for (Outcome outcome : Outcome.values()) {
      int count = outcomes.getOrDefault(outcome, 0);
      attempts += count;
      if (count > 0) {
        line.append(' ').append(lowerCaseName(outcome)).append(' ').append(count);
      }
    }
    if (outcomes.getOrDefault(Outcome.RESET, 0) > 0) {
      line.append(" (of the resets on kept connections ")
          .append(reusedConnectionResets)
          .append(", at once ")
          .append(immediateResets);
      if (malformed > 0) {
        line.append(", for spoilt answers ").append(malformed).append(' ').append(malformedReasons);
      }
      line.append(')');
    }
    line.append("; waited ")
        .append(waitedMicros / 1000 / Math.max(1, total))
        .append(" ms, most ")
        .append(maxWaitedMicros / 1000)
        .append("; dialled ")
        .append(connectionsDialled);
    if (secondConnections > 0) {
      line.append(" (late ").append(secondConnections).append(')');
    }
    line.append(", connections ").append(backendConnections);
    if (givenUp > 0) {
      line.append("; given up by the guard ").append(givenUp);
    }
    line.append(settings);
    List<String> lines =
        total + attempts + connectionsDialled == 0
            ? List.of()
            : unserved == null ? List.of(line.toString()) : List.of(line.toString(), unserved);
    dispositions.clear();
    outcomes.clear();
    unsent = 0;
    givenUp = 0;
    connectionsDialled = 0;
    secondConnections = 0;
    reusedConnectionResets = 0;
    immediateResets = 0;
    malformed = 0;
    malformedReasons.clear();
    waitedMicros = 0;
    maxWaitedMicros = 0;
    unserved = null;
    return lines;
  }

  static String lowerCaseName(Enum<?> each) {
    return each.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
