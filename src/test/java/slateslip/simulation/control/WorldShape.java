package slateslip.simulation.control;

import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeLocation;

/**
 * The size of a simulated cluster.
 *
 * @param nodes the number of core machines
 * @param seeds the number of core machines whose addresses every process has in its settings
 * @param tolerance the losses that the cluster must survive
 * @param zones the number of zones, each of which has a range of the addresses; 0 if the nodes do
 *     not know their zones
 * @param regions the number of regions, to which the zones belong in turn; 0 if the nodes do not
 *     know their regions
 */
record WorldShape(int nodes, int seeds, FailureTolerance tolerance, int zones, int regions) {
  /** Creates a shape in which only machines may be lost. */
  WorldShape(int nodes, int seeds, int faultTolerance) {
    this(nodes, seeds, FailureTolerance.ofMachines(faultTolerance), 0, 0);
  }

  /** Returns the number of machines that may be lost at the same time. */
  int faultTolerance() {
    return tolerance.machines();
  }

  /** Returns the location of the machine with this number, counted from 0. */
  NodeLocation location(int machine) {
    if (zones == 0) {
      return NodeLocation.UNKNOWN;
    }
    int zone = machine * zones / nodes;
    String region = regions == 0 ? "" : "region-" + zone % regions;
    return new NodeLocation("zone-" + zone, region);
  }
}
