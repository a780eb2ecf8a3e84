/**
 * Replication of the control state: views, ballots among witnesses, primary-backup replication,
 * joining. State machines alone: inputs in, effects out; no socket, clock or thread.
 */
package slateslip.coordination;
