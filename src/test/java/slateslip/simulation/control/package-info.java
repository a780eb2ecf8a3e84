/** Core nodes that keep the control state, under seeded faults, checked all along. */
package slateslip.simulation.control;
