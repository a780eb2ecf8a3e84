package slateslip.routing.policy;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The mechanisms that a router uses and the parameters of its decisions.
 *
 * @param disabled mechanisms that the router does not use
 * @param overrides values of the parameters that differ from their defaults
 */
public record RoutingPolicy(Set<Mechanism> disabled, Map<RoutingParameter, Double> overrides) {
  /** The policy with all mechanisms enabled and all parameters at their defaults. */
  public static final RoutingPolicy DEFAULT = new RoutingPolicy(Set.of(), Map.of());

  private static final long MICROS_PER_MILLI = 1_000;

  /** Creates a policy from copies of both collections. */
  public RoutingPolicy {
    disabled = Set.copyOf(disabled);
    overrides = Map.copyOf(overrides);
  }

  /** Returns whether a mechanism is enabled. */
  public boolean uses(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /** Returns the value of a parameter: the override if there is one, otherwise the default. */
  public double value(RoutingParameter parameter) {
    return overrides.getOrDefault(parameter, parameter.defaultValue());
  }

  /** Returns the value of a parameter that is given in milliseconds, converted to microseconds. */
  public long micros(RoutingParameter parameter) {
    return Math.round(value(parameter) * MICROS_PER_MILLI);
  }

  /**
   * Creates a policy that disables some mechanisms.
   *
   * @param names labels of the mechanisms, separated by commas; may be empty
   * @throws IllegalArgumentException if a label is unknown
   */
  public static RoutingPolicy without(String names) {
    return of(names, "");
  }

  /**
   * Parses a policy.
   *
   * @param disabled labels of the mechanisms to disable, separated by commas; may be empty
   * @param parameters assignments {@code label=value}, separated by commas; may be empty
   * @throws IllegalArgumentException if a label is unknown, or if a value is not a number or is out
   *     of range
   */
  public static RoutingPolicy of(String disabled, String parameters) {
    Set<Mechanism> mechanisms = EnumSet.noneOf(Mechanism.class);
    for (String name : disabled.split(",", -1)) {
      if (!name.isBlank()) {
        mechanisms.add(
            Mechanism.fromLabel(name.trim())
                .orElseThrow(
                    () -> new IllegalArgumentException("unknown mechanism: " + name.trim())));
      }
    }
    Map<RoutingParameter, Double> overrides = new EnumMap<>(RoutingParameter.class);
    for (String assignment : parameters.split(",", -1)) {
      if (!assignment.isBlank()) {
        addOverride(overrides, assignment.trim());
      }
    }
    return new RoutingPolicy(mechanisms, overrides);
  }

  private static void addOverride(Map<RoutingParameter, Double> overrides, String assignment) {
    int equals = assignment.indexOf('=');
    String name = equals < 0 ? assignment : assignment.substring(0, equals);
    RoutingParameter parameter =
        RoutingParameter.fromLabel(name)
            .orElseThrow(() -> new IllegalArgumentException("unknown parameter: " + name));
    double value = parseNumber(assignment.substring(equals + 1));
    if (!parameter.permits(value)) {
      throw new IllegalArgumentException(
          "parameter value missing, not a number or out of range: " + assignment);
    }
    overrides.put(parameter, value);
  }

  /** Returns NaN, which is outside the range of every parameter, if the text is not a number. */
  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException notANumber) {
      return Double.NaN;
    }
  }
}
