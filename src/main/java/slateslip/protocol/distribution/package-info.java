/** SBE codec of the messages between data planes and control agents. */
package slateslip.protocol.distribution;
