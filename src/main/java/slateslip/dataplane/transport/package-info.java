/** Sockets that are read outside the turns in which the event loop finds them readable. */
package slateslip.dataplane.transport;
