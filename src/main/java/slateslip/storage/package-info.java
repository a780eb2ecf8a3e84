/**
 * Storage of durable records in a ring of preallocated files. Each file begins with a snapshot, so
 * that the storage can reuse the earlier files. All methods must be called from one thread.
 */
package slateslip.storage;
