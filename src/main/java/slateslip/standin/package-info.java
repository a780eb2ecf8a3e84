/** Stand-ins for what surrounds the fleet, and a whole fleet on the loopback interface. */
package slateslip.standin;
