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
  private static final int REASONS_MOST = 4;

  /** How a request ended for its client. */
  enum Disposition {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  private final Map<Disposition, Integer> answers = new EnumMap<>(Disposition.class);
  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private int unsent;
  private int givenUp;
  private int dialled;
  private int dialledAgain;
  private int brokeAtOnce;
  private int brokeKept;
  private int spoilt;

  /** How often for each reason; a few reasons, for they come from outside. */
  private final Map<String, Integer> spoiltWhy = new TreeMap<>();

  private long waitedMicros;
  private long waitedMostMicros;

  /** The first request of the period that was refused or failed, with all that was tried. */
  private String unserved;

  /** Where settings have versions, the one in force and what became of others. */
  private String settings = "";

  /** The settings in force are to be told with each line. */
  void settings(String told) {
    settings = "; " + told;
  }

  /** A request has its final answer, after so many attempts. */
  void answered(Disposition answer, int attempts) {
    answers.merge(answer, 1, Integer::sum);
    unsent += attempts == 0 && answer != Disposition.LEFT ? 1 : 0;
  }

  /** The module has left a request without an answer until its last moment. */
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
      String answer,
      long micros,
      long timeoutMs,
      List<String> attempts) {
    unserved =
        "unserved: "
            + id
            + " "
            + requestClass
            + " "
            + answer
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
    waitedMostMicros = Math.max(waitedMostMicros, micros);
  }

  /**
   * A connection has broken under an attempt, at once or later: one kept from before, or a new one.
   */
  void broke(boolean kept, boolean atOnce) {
    brokeKept += kept ? 1 : 0;
    brokeAtOnce += atOnce ? 1 : 0;
  }

  /** An answer was not one as the protocol has it; its attempt counts among the resets. */
  void spoilt(String why) {
    spoilt++;
    spoiltWhy.merge(
        spoiltWhy.containsKey(why) || spoiltWhy.size() < REASONS_MOST ? why : "other",
        1,
        Integer::sum);
  }

  /** A connection to a server is dialled. */
  void dialled() {
    dialled++;
  }

  /** One that is late has another dialled beside it. */
  void dialledAgain() {
    dialledAgain++;
  }

  /** The lines of the period that ends now; the next begins. */
  List<String> take(int open, int toServers) {
    int total = 0;
    StringBuilder line = new StringBuilder("tally:");
    for (Disposition answer : Disposition.values()) {
      int count = answers.getOrDefault(answer, 0);
      line.append(' ').append(word(answer)).append(' ').append(count);
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
          .append(brokeKept)
          .append(", at once ")
          .append(brokeAtOnce);
      if (spoilt > 0) {
        line.append(", for spoilt answers ").append(spoilt).append(' ').append(spoiltWhy);
      }
      line.append(')');
    }
    line.append("; waited ")
        .append(waitedMicros / 1000 / Math.max(1, total))
        .append(" ms, most ")
        .append(waitedMostMicros / 1000)
        .append("; dialled ")
        .append(dialled);
    if (dialledAgain > 0) {
      line.append(" (late ").append(dialledAgain).append(')');
    }
    line.append(", connections ").append(toServers);
    if (givenUp > 0) {
      line.append("; given up by the guard ").append(givenUp);
    }
    line.append(settings);
    List<String> lines =
        total + attempts + dialled == 0
            ? List.of()
            : unserved == null ? List.of(line.toString()) : List.of(line.toString(), unserved);
    answers.clear();
    outcomes.clear();
    unsent = 0;
    givenUp = 0;
    dialled = 0;
    dialledAgain = 0;
    brokeKept = 0;
    brokeAtOnce = 0;
    spoilt = 0;
    spoiltWhy.clear();
    waitedMicros = 0;
    waitedMostMicros = 0;
    unserved = null;
    return lines;
  }

  static String word(Enum<?> each) {
    return each.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
