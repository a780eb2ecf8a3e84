package slateslip.simulation.control;

/**
 * The size of a simulated cluster.
 *
 * @param nodes the number of core machines
 * @param seeds the number of core machines whose addresses every process has in its settings
 * @param faultTolerance the number of machines that may be lost at the same time
 */
record WorldShape(int nodes, int seeds, int faultTolerance) {}
