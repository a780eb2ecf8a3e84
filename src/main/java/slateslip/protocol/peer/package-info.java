/** SBE codecs of the messages between control agents, and of the replicated configuration state. */
package slateslip.protocol.peer;
