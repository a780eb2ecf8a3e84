package slateslip.settings;

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
}
