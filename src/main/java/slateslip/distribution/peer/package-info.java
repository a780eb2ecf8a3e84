/**
 * Messages between control agents, other than the messages that replicate the control state, and
 * the tracking of which agents are reachable.
 */
package slateslip.distribution.peer;
