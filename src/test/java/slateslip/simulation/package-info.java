/** The project's own world: seeded network, disks, clocks. A part of the product, played by CI. */
package slateslip.simulation;
