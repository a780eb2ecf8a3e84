/* Generated SBE (Simple Binary Encoding) message codecs.*/
/**
 * Control state among core nodes, and its records on disk
 */
package slateslip.protocol.coordination.next;
