/**
 * SBE codecs of the messages between the replicas of control agents, and of the records that
 * replicas write to disk.
 */
package slateslip.protocol.coordination;
