package slateslip.coordination;

/**
 * How far the replica's state is on disk.
 *
 * @param term installed
 * @param sequence last record
 */
record DurablePosition(PrimaryTerm term, long sequence) {
  static final DurablePosition NONE = new DurablePosition(PrimaryTerm.NONE, 0);
}
