package slateslip.routing.policy;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The mechanisms that a router uses, and the parameters of its decisions.
 *
 * @param disabled mechanisms that it does not use
 * @param overrides parameters that have another value than their default
 */
public record RoutingPolicy(Set<Mechanism> disabled, Map<RoutingParameter, Double> overrides) {
  /** All mechanisms are used, and all parameters have their defaults. */
  public static final RoutingPolicy DEFAULT = new RoutingPolicy(Set.of(), Map.of());

  private static final long MICROS_PER_MILLI = 1_000;

  /** A policy without these mechanisms and with these values. */
  public RoutingPolicy {
    disabled = Set.copyOf(disabled);
    overrides = Map.copyOf(overrides);
  }

  /** Whether a mechanism is used. */
  public boolean uses(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /** Value of a parameter. */
  public double value(RoutingParameter parameter) {
    return overrides.getOrDefault(parameter, parameter.defaultValue());
  }

  /** Value of a parameter that is a time in milliseconds, in microseconds. */
  public long micros(RoutingParameter parameter) {
    return Math.round(value(parameter) * MICROS_PER_MILLI);
  }

  /**
   * Reads a list of mechanisms that are not used.
   *
   * @param names separated by commas; may be empty
   * @throws IllegalArgumentException if one of them is unknown
   */
  public static RoutingPolicy without(String names) {
    return of(names, "");
  }

  /**
   * Reads a policy.
   *
   * @param disabled names of mechanisms that are not used, separated by commas; may be empty
   * @param parameters {@code name=value}, separated by commas; may be empty
   * @throws IllegalArgumentException if a name is unknown or a value is none or out of its range
   */
  public static RoutingPolicy of(String disabled, String parameters) {
    Set<Mechanism> mechanisms = EnumSet.noneOf(Mechanism.class);
    for (String name : disabled.split(",", -1)) {
      if (!name.isBlank()) {
        mechanisms.add(
            Mechanism.named(name.trim())
                .orElseThrow(() -> new IllegalArgumentException("no mechanism " + name.trim())));
      }
    }
    Map<RoutingParameter, Double> overrides = new EnumMap<>(RoutingParameter.class);
    for (String assignment : parameters.split(",", -1)) {
      if (!assignment.isBlank()) {
        assign(overrides, assignment.trim());
      }
    }
    return new RoutingPolicy(mechanisms, overrides);
  }

  private static void assign(Map<RoutingParameter, Double> overrides, String assignment) {
    int equals = assignment.indexOf('=');
    String name = equals < 0 ? assignment : assignment.substring(0, equals);
    RoutingParameter parameter =
        RoutingParameter.named(name)
            .orElseThrow(() -> new IllegalArgumentException("no parameter " + name));
    double value = parse(assignment.substring(equals + 1));
    if (!parameter.permits(value)) {
      throw new IllegalArgumentException("no value for a parameter: " + assignment);
    }
    overrides.put(parameter, value);
  }

  /** Not a number, which no parameter permits, where the text is none. */
  private static double parse(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException unreadable) {
      return Double.NaN;
    }
  }
}
