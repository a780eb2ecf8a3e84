package slateslip.routing.policy;

import java.util.Locale;
import java.util.Optional;

/**
 * A figure that the router's decisions depend on and that no deployment tells. What other values
 * are worth stands in docs/experiments/decisions.md, "Parameters"; experiments and a data plane's
 * command line can set one within the range.
 */
public enum RoutingParameter {
  /**
   * Part of the latency objective above which, at the first choice, the other backends are looked
   * at too.
   */
  SPILL_FRACTION(0.4, 0, 100),

  /**
   * Part of the shared tokens that the first backend of a prompt is taken to keep although this
   * data plane has not sent them there: the others have.
   */
  SHARED_CACHE_FRACTION(0.95, 0, 1),

  /** Time that staying in the own zone is worth, in milliseconds. */
  OTHER_ZONE_MILLIS(8, 0, 10_000),

  /** Part of its slots in use above which a backend of the own zone counts as full. */
  FULL_SLOTS_FRACTION(0.8, 0, 1),

  /** Weight of one measured delay beyond what own requests explain. */
  DELAY_WEIGHT(0.5, 0, 1),

  /** Time in which a measured delay falls to 1/e, in milliseconds. */
  DELAY_DECAY_MILLIS(700, 1, 60_000),

  /** Time in which what a backend told of its load falls to 1/e, in milliseconds. */
  LOAD_DECAY_MILLIS(300, 1, 60_000),

  /** Time to the first event without any reading, before it has been learnt, in milliseconds. */
  PRIOR_BASE_MILLIS(12, 0.1, 10_000),

  /**
   * Tokens that an engine reads in a millisecond, before that has been learnt. Rather too few than
   * too many: a prompt that is read at another backend for nothing costs more than one that waits.
   */
  PRIOR_TOKENS_PER_MILLI(16, 0.1, 100_000),

  /** How long after it was expected a response is overdue, in milliseconds. */
  OVERDUE_MILLIS(250, 1, 60_000),

  /** How long a stream may run with nothing heard from its backend, in milliseconds. */
  STREAM_SILENCE_MILLIS(1_000, 1, 60_000),

  /** Between two probes of a backend that is suspected or unhealthy, in milliseconds. */
  SUSPECT_PROBE_MILLIS(400, 1, 60_000),

  /** After this time without a reply a probe raises suspicion, in milliseconds. */
  PROBE_REPLY_MILLIS(250, 1, 60_000),

  /** Weight of one measured delay of a service's responses. */
  SERVICE_DELAY_WEIGHT(0.25, 0, 1),

  /** Time in which the measured delay of a service falls to 1/e, in milliseconds. */
  SERVICE_DELAY_DECAY_MILLIS(2_000, 1, 60_000),

  /** How often a service's delay is added to the time that one backend is given. */
  SERVICE_DELAY_FACTOR(2, 0, 100),

  /** Between two probes of an idle backend by all data planes together, in milliseconds. */
  IDLE_PROBE_MILLIS(8_000, 1, 3_600_000),

  /** Broken responses in a row that raise suspicion. */
  BROKEN_IN_A_ROW(2, 1, 1_000),

  /** How long a backend that failed too often is left out, in milliseconds. */
  REACTIVATION_MILLIS(5_000, 1, 3_600_000),

  /** Data planes that share a limit before a control agent has told how many there are. */
  INITIAL_DATA_PLANES(16, 1, 100_000),

  /** Part of the retry budget that is used. */
  RETRY_BUDGET_FRACTION(0.8, 0, 1),

  /** When a client is asked to come back whose request no backend took, in milliseconds. */
  RETRY_AFTER_MILLIS(100, 1, 60_000);

  private final double defaultValue;
  private final double min;
  private final double max;

  RoutingParameter(double defaultValue, double min, double max) {
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
  }

  /** Its value where nothing else is set. */
  public double defaultValue() {
    return defaultValue;
  }

  /** Whether it may have this value. */
  public boolean permits(double value) {
    return value >= min && value <= max;
  }

  /** Its name in files and options. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The parameter of this name, in lower case with hyphens; empty if there is none. */
  public static Optional<RoutingParameter> named(String name) {
    for (RoutingParameter parameter : values()) {
      if (parameter.label().equals(name)) {
        return Optional.of(parameter);
      }
    }
    return Optional.empty();
  }
}
