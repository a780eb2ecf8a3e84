/**
 * The data plane binary: sockets, threads and clocks around the state machines of {@link
 * slateslip.routing}, and its graceful shutdown.
 */
package slateslip.dataplane;
