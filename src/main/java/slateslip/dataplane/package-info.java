/**
 * The data plane program: the sockets, threads and clocks that surround the state machines of
 * {@link slateslip.routing}, and the graceful shutdown.
 */
package slateslip.dataplane;
