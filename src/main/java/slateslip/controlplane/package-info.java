/**
 * Contains the control plane program: HTTP interface, sockets, disk, threads and clocks around the
 * control agent.
 */
package slateslip.controlplane;
