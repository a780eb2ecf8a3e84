/**
 * Sessions of backends with control agents, as state machines without sockets, clocks or threads.
 */
package slateslip.distribution.sessions;
