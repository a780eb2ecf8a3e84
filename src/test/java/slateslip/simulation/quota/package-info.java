/** A simulation of many data planes and their quota allocators under random schedules of faults. */
package slateslip.simulation.quota;
