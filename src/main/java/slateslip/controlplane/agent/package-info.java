/**
 * A whole control agent without sockets, clock, disk or threads: its host provides them through
 * {@link Scheduler}, {@link PeerConnector}, {@link DataPlaneStream} and {@link WriteAheadLog}, so
 * that a simulation runs the same code.
 */
package slateslip.controlplane.agent;
