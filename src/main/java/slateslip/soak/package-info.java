/**
 * Soak test: runs real processes of both programs on loopback addresses, clients that keep their
 * connections in use, and overlapping series of planned restarts, crashes and configuration
 * changes, all generated from one seed. A checker verifies every request and every acknowledged
 * configuration.
 */
package slateslip.soak;
