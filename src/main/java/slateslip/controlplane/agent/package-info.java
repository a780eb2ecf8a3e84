/**
 * Contains a complete control agent without sockets, clock, disk or threads. The host provides
 * sockets, clock, disk and threads through {@link Scheduler}, {@link PeerConnector}, {@link
 * DataPlaneStream} and {@link WriteAheadLog}, so that a simulation runs the same code.
 */
package slateslip.controlplane.agent;
