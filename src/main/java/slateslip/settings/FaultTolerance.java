package slateslip.settings;

/**
 * What may be lost at once while the rules are kept ({@code fault_tolerance.*}); 0 for none.
 *
 * @param machines of those that count for the quorum
 * @param zones whole zones
 * @param regions whole regions
 */
public record FaultTolerance(int machines, int zones, int regions) {
  static FaultTolerance read(KeyReader keys) {
    return new FaultTolerance(
        keys.integer("fault_tolerance.machines", 0),
        keys.integer("fault_tolerance.zones", 0),
        keys.integer("fault_tolerance.regions", 0));
  }
}
