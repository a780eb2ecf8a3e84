package slateslip.coordination;

/**
 * One activation of a view's primary. Records with the same sequence number are the same within a
 * term.
 *
 * @param epoch of the view
 * @param incarnation 1 or more; rises each time that the epoch's primary starts anew
 */
public record PrimaryTerm(long epoch, long incarnation) implements Comparable<PrimaryTerm> {
  /** Before every other. */
  public static final PrimaryTerm NONE = new PrimaryTerm(0, 0);

  /** The term of a primary that begins or resumes an epoch after this one. */
  public PrimaryTerm next(long newEpoch) {
    return new PrimaryTerm(newEpoch, epoch == newEpoch ? incarnation + 1 : 1);
  }

  @Override
  public int compareTo(PrimaryTerm other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(incarnation, other.incarnation);
  }
}
