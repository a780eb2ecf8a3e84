/**
 * Stand-in backends, clients and operators for tests and measurements, and a complete fleet on the
 * loopback interface.
 */
package slateslip.standin;
