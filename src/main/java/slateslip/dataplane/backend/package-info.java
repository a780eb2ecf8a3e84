/**
 * Connections to backends: a pool, one request a connection, attempts and probes with their
 * outcomes.
 */
package slateslip.dataplane.backend;
