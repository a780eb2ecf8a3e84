/**
 * Counters of the causes that wake event loops, and the CPU time of a process by kind of thread.
 */
package slateslip.eventloop;
