package slateslip.coordination;

/**
 * What a witness keeps on disk: the newest decided view that it knows, and its vote on the next.
 *
 * @param decided newest decided view known
 * @param promised highest ballot promised for epoch {@code decided.epoch() + 1}
 * @param acceptedBallot ballot of the accepted value, or {@link Ballot#NONE}
 * @param accepted value accepted for that epoch, or {@link View#NONE}
 */
public record WitnessState(View decided, Ballot promised, Ballot acceptedBallot, View accepted) {
  /** Of a node that has heard of no view. */
  public static final WitnessState NONE = decided(View.NONE);

  /** State right after a view was learned. */
  public static WitnessState decided(View view) {
    return new WitnessState(view, Ballot.NONE, Ballot.NONE, View.NONE);
  }

  /** Whether a value for the next epoch has been accepted. */
  public boolean hasAccepted() {
    return !accepted.isNone();
  }
}
