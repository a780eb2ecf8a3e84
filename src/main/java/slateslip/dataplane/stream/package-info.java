/** Splitting of event streams into complete events. */
package slateslip.dataplane.stream;
