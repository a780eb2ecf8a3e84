/**
 * Replication of the control state by primary-backup replication. A view names the primary, the
 * members and the witnesses; a majority of the witnesses decides the next view by ballots. The
 * classes are pure state machines that turn inputs into effects and use no socket, clock or thread.
 */
package slateslip.coordination;
