package slateslip.loadbalancer.net;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * Counts what the agent does and tells it on a line each few seconds, with one unserved request
 * told in full. Guards against a bad day of which the log says nothing: who gave the final answers,
 * and after how many attempts. Bounded: two lines a period however many requests come, and none
 * while nothing happens.
 */
final class RequestStatistics {
  /** How often it is told. */
  static final long PERIOD_SECONDS = 5;

  /** Reasons for which answers were spoilt that are told by themselves. */
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
  private int connectionsDialledAgain;
  private int immediateResets;
  private int reusedConnectionResets;
  private int malformed;

  /** How often for each reason; a few reasons, for they come from outside. */
  private final Map<String, Integer> malformedReasons = new TreeMap<>();

  private long waitedMicros;
  private long maxWaitedMicros;

  /** The first request of the period that was refused or failed, with all that was tried. */
  private String unserved;

  /** Where settings have versions, the one in force and what became of others. */
  private String settings = "";

  /** The settings in force are to be told with each line. */
  void settings(String description) {
    settings = "; " + description;
  }

  /** A request has its final answer, after so many attempts. */
  void completed(Disposition disposition, int attempts) {
    dispositions.merge(disposition, 1, Integer::sum);
    unsent += attempts == 0 && disposition != Disposition.LEFT ? 1 : 0;
  }

  /** The module has left a request without a response until its last moment. */
  void givenUp() {
    givenUp++;
  }

  /** Whether a refused or failed request is still wanted for this period. */
  boolean wantsUnserved() {
    return unserved == null;
  }

  void unserved(
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

  /** An attempt has ended. */
  void ended(Outcome outcome) {
    outcomes.merge(outcome, 1, Integer::sum);
  }

  /** The first attempt of a request begins so long after it came. */
  void waited(long micros) {
    waitedMicros += micros;
    maxWaitedMicros = Math.max(maxWaitedMicros, micros);
  }

  /**
   * A connection has broken under an attempt, at once or later: one kept from before, or a new one.
   */
  void connectionReset(boolean reused, boolean immediate) {
    reusedConnectionResets += reused ? 1 : 0;
    immediateResets += immediate ? 1 : 0;
  }

  /** A response was not one as the protocol has it; its attempt counts among the resets. */
  void recordMalformed(String why) {
    malformed++;
    malformedReasons.merge(
        malformedReasons.containsKey(why) || malformedReasons.size() < MAX_REASONS ? why : "other",
        1,
        Integer::sum);
  }

  /** A connection to a server is dialled. */
  void connectionDialled() {
    connectionsDialled++;
  }

  /** One that is late has another dialled beside it. */
  void secondConnectionDialled() {
    connectionsDialledAgain++;
  }

  /** The lines of the period that ends now; the next begins. */
  List<String> take(int open, int toServers) {
    int total = 0;
    StringBuilder line = new StringBuilder("tally:");
    for (Disposition disposition : Disposition.values()) {
      int count = dispositions.getOrDefault(disposition, 0);
      line.append(' ').append(word(disposition)).append(' ').append(count);
      total += count;
    }
    line.append(" (unsent ").append(unsent).append("), open ").append(open).append("; attempts:");
    int attempts = 0;
    for (Outcome outcome : Outcome.values()) {
      int count = outcomes.getOrDefault(outcome, 0);
      attempts += count;
      if (count > 0) {
        line.append(' ').append(word(outcome)).append(' ').append(count);
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
    if (connectionsDialledAgain > 0) {
      line.append(" (late ").append(connectionsDialledAgain).append(')');
    }
    line.append(", connections ").append(toServers);
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
    connectionsDialledAgain = 0;
    reusedConnectionResets = 0;
    immediateResets = 0;
    malformed = 0;
    malformedReasons.clear();
    waitedMicros = 0;
    maxWaitedMicros = 0;
    unserved = null;
    return lines;
  }

  static String word(Enum<?> each) {
    return each.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
