package slateslip.storage;

/**
 * Shape of the ring.
 *
 * @param files 2 or more
 * @param fileBytes of each file; a snapshot and the records behind it must fit
 */
public record RingOptions(int files, long fileBytes) {}
