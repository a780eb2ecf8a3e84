/** Streams of events: cutting them into whole events, and going on with one at another backend. */
package slateslip.dataplane.stream;
