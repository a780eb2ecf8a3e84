/**
 * Whole control agents and whole subscriptions of data planes, unchanged, on simulated disks,
 * clocks and connections, with operators and backends that call them: seeded runs, checked all
 * along.
 */
package slateslip.simulation.agents;
