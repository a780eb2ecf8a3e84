/** Decisions of a data plane, as state machines without sockets, clocks or threads. */
package slateslip.routing;
