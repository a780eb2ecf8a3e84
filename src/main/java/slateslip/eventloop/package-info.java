/** Event loops that count what wakes them, and the processor time of a process by thread. */
package slateslip.eventloop;
