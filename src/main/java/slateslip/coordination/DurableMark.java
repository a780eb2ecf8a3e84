package slateslip.coordination;

/**
 * How far the replica's state is on disk.
 *
 * @param tenure installed
 * @param sequence last record
 */
record DurableMark(Tenure tenure, long sequence) {
  static final DurableMark NONE = new DurableMark(Tenure.NONE, 0);
}
