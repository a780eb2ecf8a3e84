/**
 * Routing decisions of a data plane, implemented as state machines without sockets, clocks or
 * threads.
 */
package slateslip.routing;
