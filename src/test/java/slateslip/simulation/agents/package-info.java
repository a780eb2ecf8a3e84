/**
 * Simulation of the unmodified control agents and the unmodified subscriptions of the data planes
 * on simulated disks, clocks and connections. Simulated operators and backends call the agents.
 * Each run is determined by its seed, and its invariants are checked during the whole run.
 */
package slateslip.simulation.agents;
