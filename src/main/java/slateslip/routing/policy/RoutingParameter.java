package slateslip.routing.policy;

import java.util.Locale;
import java.util.Optional;

/**
 * A numeric parameter of the router's decisions that is not part of a deployment's settings. The
 * section "Parameters" of docs/experiments/decisions.md reports the effect of other values.
 * Experiments and the command line of a data plane can set a parameter to a value within its range.
 */
public enum RoutingParameter {
  /**
   * Fraction of the route's target latency. If the expected first-token latency at the preferred
   * backend exceeds it, other backends are considered as well.
   */
  SPILL_FRACTION(0.4, 0, 100),

  /**
   * Fraction of a prompt's shared tokens that the preferred backend is assumed to have cached even
   * if this data plane has not sent them there, because other data planes have.
   */
  SHARED_CACHE_FRACTION(0.95, 0, 1),

  /** Cost of a backend in another zone, as an additional latency in milliseconds. */
  OTHER_ZONE_MILLIS(8, 0, 10_000),

  /**
   * Fraction of a backend's slots in use from which the backend counts as full. If all backends of
   * the own zone are full, those of other zones are considered.
   */
  FULL_SLOTS_FRACTION(0.8, 0, 1),

  /**
   * Weight of one measurement in the moving average of a backend's delay beyond the expected
   * first-token latency.
   */
  DELAY_WEIGHT(0.5, 0, 1),

  /** Time in milliseconds after which a measured delay has decayed to 1/e. */
  DELAY_DECAY_MILLIS(700, 1, 60_000),

  /** Time in milliseconds after which the load that a backend reported has decayed to 1/e. */
  LOAD_DECAY_MILLIS(300, 1, 60_000),

  /**
   * Initial estimate, in milliseconds, of the first-token latency of a request that needs no
   * prefill.
   */
  PRIOR_BASE_MILLIS(12, 0.1, 10_000),

  /**
   * Initial estimate of the number of tokens that an engine prefills per millisecond. The value is
   * deliberately low, because an unnecessary prefill of a prompt at another backend costs more than
   * a wait at the preferred backend.
   */
  PRIOR_TOKENS_PER_MILLI(16, 0.1, 100_000),

  /**
   * Time in milliseconds after the expected start of a response at which the response is overdue.
   */
  OVERDUE_MILLIS(250, 1, 60_000),

  /**
   * Time in milliseconds without any data from the backend of a stream after which the stream is
   * overdue.
   */
  STREAM_SILENCE_MILLIS(1_000, 1, 60_000),

  /** Interval in milliseconds between two probes of a suspected or unhealthy backend. */
  SUSPECT_PROBE_MILLIS(400, 1, 60_000),

  /**
   * Time in milliseconds without a response to a probe after which the backend is suspected to be
   * down.
   */
  PROBE_REPLY_MILLIS(250, 1, 60_000),

  /** Weight of one measurement in the moving average of the delay of a service's responses. */
  SERVICE_DELAY_WEIGHT(0.25, 0, 1),

  /** Time in milliseconds after which the measured delay of a service has decayed to 1/e. */
  SERVICE_DELAY_DECAY_MILLIS(2_000, 1, 60_000),

  /**
   * Multiple of the delay of a service by which the timeouts of each of its backends are extended.
   */
  SERVICE_DELAY_FACTOR(2, 0, 100),

  /** Interval in milliseconds between two probes of an idle backend by all data planes together. */
  IDLE_PROBE_MILLIS(8_000, 1, 3_600_000),

  /** Number of consecutive broken responses after which a backend is suspected to be down. */
  BROKEN_IN_A_ROW(2, 1, 1_000),

  /** Time in milliseconds for which a backend stays ejected after too many failures. */
  REACTIVATION_MILLIS(5_000, 1, 3_600_000),

  /**
   * Number of data planes that are assumed to share a limit until a control agent reports the
   * actual number.
   */
  INITIAL_DATA_PLANES(16, 1, 100_000),

  /** Fraction of the retry budget that is used; the rest is a safety margin. */
  RETRY_BUDGET_FRACTION(0.8, 0, 1),

  /** Time in milliseconds after which a client may retry a request that no backend accepted. */
  RETRY_AFTER_MILLIS(100, 1, 60_000);

  private final double defaultValue;
  private final double min;
  private final double max;

  RoutingParameter(double defaultValue, double min, double max) {
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
  }

  /** Returns the value of the parameter if a policy does not override it. */
  public double defaultValue() {
    return defaultValue;
  }

  /** Returns whether a value lies within the permitted range, limits included; false for NaN. */
  public boolean permits(double value) {
    return value >= min && value <= max;
  }

  /**
   * Returns the name of the parameter in files and command-line options: lower case with hyphens.
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the parameter with this label; empty if there is none. */
  public static Optional<RoutingParameter> fromLabel(String name) {
    for (RoutingParameter parameter : values()) {
      if (parameter.label().equals(name)) {
        return Optional.of(parameter);
      }
    }
    return Optional.empty();
  }
}
