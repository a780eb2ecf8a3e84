/** A deterministic world for data planes: their routers, backends, clients, network and faults. */
package slateslip.simulation.dataplane;
