/** Protocols between the processes of slateslip: framing and decoding of SBE messages over TCP. */
package slateslip.protocol;
