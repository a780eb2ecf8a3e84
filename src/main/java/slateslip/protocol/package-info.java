/** What slateslip's processes say to each other: SBE messages in frames over TCP. */
package slateslip.protocol;
