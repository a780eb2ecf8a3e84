/**
 * A deterministic simulation of data planes with their routers, backends, clients, network and
 * faults.
 */
package slateslip.simulation.dataplane;
