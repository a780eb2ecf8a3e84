/**
 * Connections to backends: connection pools, attempts with one request at a time on a connection,
 * and health probes.
 */
package slateslip.dataplane.backend;
