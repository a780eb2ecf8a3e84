package slateslip.simulation.control;

/**
 * Size of a world.
 *
 * @param nodes core machines
 * @param seeds of them, those that every process is told of at first
 * @param faultTolerance machines that may be lost at once
 */
record WorldShape(int nodes, int seeds, int faultTolerance) {}
