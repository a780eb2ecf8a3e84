package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What came of an experiment on a fleet.
 *
 * @param outcome what is judged
 * @param phases what each part measured, in their order
 * @param totals counts and costs in all, by name
 */
record FleetResult(FleetOutcome outcome, List<FleetPhase> phases, JsonNode totals) {
  /** The part of that name; IllegalArgumentException if there was none. */
  FleetPhase phase(String name) {
    return phases.stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no part " + name));
  }
}
