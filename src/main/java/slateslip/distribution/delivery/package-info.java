/**
 * Delivers configurations and backend sessions to data planes. The classes are state machines
 * without sockets.
 */
package slateslip.distribution.delivery;
