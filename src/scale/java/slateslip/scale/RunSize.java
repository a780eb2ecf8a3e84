package slateslip.scale;

/**
 * The size of one run.
 *
 * @param agents real control agents
 * @param dataPlanes hollow data planes
 * @param backends hollow backends
 * @param changes versions of the configuration before an agent is killed
 */
record RunSize(int agents, int dataPlanes, int backends, int changes) {}
