/** SBE codec of the messages among core nodes, and of what they write to disk. */
package slateslip.protocol.coordination;
