/** SBE codec of the messages among control agents, and of the replicated configuration state. */
package slateslip.protocol.peer;
