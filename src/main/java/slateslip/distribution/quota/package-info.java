/** Division of fleet-wide limits among data planes. */
package slateslip.distribution.quota;
