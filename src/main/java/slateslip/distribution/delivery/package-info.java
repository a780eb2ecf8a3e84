/** Delivery of configurations and sessions to data planes, as state machines without sockets. */
package slateslip.distribution.delivery;
