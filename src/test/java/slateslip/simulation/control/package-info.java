/**
 * Seeded simulations of the core nodes that replicate the control state, with injected faults and a
 * check of the invariants at each step.
 */
package slateslip.simulation.control;
