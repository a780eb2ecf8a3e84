/** Messages between control agents and data planes, and what they carry. */
package slateslip.distribution;
