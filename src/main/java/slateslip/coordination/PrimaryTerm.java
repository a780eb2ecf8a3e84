package slateslip.coordination;

/**
 * A term of a view's primary. A new term begins each time that the primary of an epoch starts.
 * Within one term, a sequence number always denotes the same record.
 *
 * @param epoch the epoch of the view
 * @param incarnation a number from 1 upwards that increases each time that the primary of the epoch
 *     restarts; 0 only in {@link #NONE}
 */
public record PrimaryTerm(long epoch, long incarnation) implements Comparable<PrimaryTerm> {
  /** Precedes every term. */
  public static final PrimaryTerm NONE = new PrimaryTerm(0, 0);

  /**
   * Returns the term that follows this term when a primary begins the given epoch, or restarts in
   * the same epoch.
   */
  public PrimaryTerm next(long newEpoch) {
    return new PrimaryTerm(newEpoch, epoch == newEpoch ? incarnation + 1 : 1);
  }

  @Override
  public int compareTo(PrimaryTerm other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(incarnation, other.incarnation);
  }
}
