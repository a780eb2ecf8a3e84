/**
 * Transfer of long messages from control agents to data planes in compressed segments. The classes
 * are state machines without sockets.
 */
package slateslip.distribution.transfer;
