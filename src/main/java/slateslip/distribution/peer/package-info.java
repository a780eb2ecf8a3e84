/** Messages among control agents, besides those of the control state's replication. */
package slateslip.distribution.peer;
