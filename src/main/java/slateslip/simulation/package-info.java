/** What all simulated worlds share: simulated time and the shortening of schedules. */
package slateslip.simulation;
