/** The event queue with simulated time that all simulations share. */
package slateslip.simulation;
