package slateslip.storage;

/**
 * Number and size of the files of the ring.
 *
 * @param files the number of files; 2 or more
 * @param fileBytes the size in bytes to which each file is preallocated; a snapshot and the records
 *     after the snapshot must fit
 */
public record RingOptions(int files, long fileBytes) {}
