/** Sockets that their owner can read without waiting until the event loop finds them readable. */
package slateslip.dataplane.transport;
