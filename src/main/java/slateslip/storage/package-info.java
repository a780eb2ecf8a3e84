/**
 * Durable records in a ring of preallocated files. Each file begins with a snapshot, so that the
 * files before it may be used again. Called from one thread.
 */
package slateslip.storage;
