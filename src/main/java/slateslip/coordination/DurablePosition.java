package slateslip.coordination;

/**
 * How far the replica's state is on disk.
 *
 * @param tenure installed
 * @param sequence last record
 */
record DurablePosition(PrimaryTerm tenure, long sequence) {
  static final DurablePosition NONE = new DurablePosition(PrimaryTerm.NONE, 0);
}
