package slateslip.coordination;

/**
 * The position up to which the replica's state is on disk.
 *
 * @param term the term whose state is installed
 * @param sequence the sequence number of the last record
 */
record DurablePosition(PrimaryTerm term, long sequence) {
  static final DurablePosition NONE = new DurablePosition(PrimaryTerm.NONE, 0);
}
