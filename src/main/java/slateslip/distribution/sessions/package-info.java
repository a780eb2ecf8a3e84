/**
 * Tracks and replicates the sessions that backends hold with control agents. The classes are state
 * machines without sockets, clocks or threads.
 */
package slateslip.distribution.sessions;
