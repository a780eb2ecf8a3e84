/** Messages between control agents and data planes, and the values that these messages carry. */
package slateslip.distribution;
