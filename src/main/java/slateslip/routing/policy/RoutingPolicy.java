package slateslip.routing.policy;

import java.util.EnumSet;
import java.util.Set;

/**
 * The mechanisms that a router uses.
 *
 * @param disabled those that it does not use
 */
public record RoutingPolicy(Set<Mechanism> disabled) {
  /** All mechanisms are used. */
  public static final RoutingPolicy DEFAULT = new RoutingPolicy(Set.of());

  /** A policy without these mechanisms. */
  public RoutingPolicy {
    disabled = Set.copyOf(disabled);
  }

  /** Whether a mechanism is used. */
  public boolean uses(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /**
   * Reads a list of mechanisms that are not used.
   *
   * @param names separated by commas; may be empty
   * @throws IllegalArgumentException if one of them is unknown
   */
  public static RoutingPolicy without(String names) {
    Set<Mechanism> disabled = EnumSet.noneOf(Mechanism.class);
    for (String name : names.split(",", -1)) {
      if (!name.isBlank()) {
        disabled.add(
            Mechanism.named(name.trim())
                .orElseThrow(() -> new IllegalArgumentException("no mechanism " + name.trim())));
      }
    }
    return new RoutingPolicy(disabled);
  }
}
