/* Generated SBE (Simple Binary Encoding) message codecs.*/
/**
 * Distribution of configurations, sessions and shares
 */
package slateslip.protocol.distribution.newer;
