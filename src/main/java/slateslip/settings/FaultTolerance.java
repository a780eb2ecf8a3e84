package slateslip.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Number of simultaneous failures that the deployment must tolerate ({@code fault_tolerance.*}); 0
 * for none.
 *
 * @param machines failed machines among those that count for the quorum
 * @param zones failed zones, each with all its machines
 * @param regions failed regions, each with all its zones
 */
public record FaultTolerance(int machines, int zones, int regions) {
  static FaultTolerance read(KeyReader keys) {
    return new FaultTolerance(
        keys.integer("fault_tolerance.machines", 0),
        keys.integer("fault_tolerance.zones", 0),
        keys.integer("fault_tolerance.regions", 0));
  }

  /**
   * Returns why no placement of agents can satisfy this tolerance in a deployment with these zones;
   * empty if one can.
   *
   * @param regionByZone the region of each zone of the deployment, by the name of the zone
   */
  public List<String> contradictions(Map<String, String> regionByZone) {
    List<String> contradictions = new ArrayList<>();
    Set<String> names = new HashSet<>(regionByZone.values());
    addContradiction(contradictions, "zones", zones, regionByZone.size());
    addContradiction(contradictions, "regions", regions, names.size());
    return contradictions;
  }

  private static void addContradiction(
      List<String> contradictions, String domain, int tolerated, int existing) {
    int needed = 2 * tolerated + 1;
    if (tolerated == 0 || existing >= needed) {
      return;
    }
    String consequence =
        existing > tolerated
            ? "after such a loss no change is accepted until the agents are back"
            : "no change of the configuration is accepted";
    contradictions.add(
        "fault_tolerance.%s=%d needs control agents in %d %s, and the settings name %d: %s"
            .formatted(domain, tolerated, needed, domain, existing, consequence));
  }
}
