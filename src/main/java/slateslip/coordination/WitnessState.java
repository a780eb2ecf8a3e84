package slateslip.coordination;

/**
 * The state that a witness keeps on disk: the newest decided view that the witness knows, and its
 * vote on the view of the next epoch.
 *
 * @param decided the newest decided view that the witness knows
 * @param promised the highest ballot that the witness has promised for epoch {@code decided.epoch()
 *     + 1}, or {@link Ballot#NONE}
 * @param acceptedBallot the ballot of the accepted view, or {@link Ballot#NONE}
 * @param accepted the view that the witness has accepted for epoch {@code decided.epoch() + 1}, or
 *     {@link View#NONE}
 */
public record WitnessState(View decided, Ballot promised, Ballot acceptedBallot, View accepted) {
  /** The state of a witness that knows no decided view and has not voted. */
  public static final WitnessState NONE = decided(View.NONE);

  /**
   * Returns the state of a witness that has just adopted a decided view and has not voted on the
   * next view.
   */
  public static WitnessState decided(View view) {
    return new WitnessState(view, Ballot.NONE, Ballot.NONE, View.NONE);
  }

  /** Returns whether the witness has accepted a view for the next epoch. */
  public boolean hasAccepted() {
    return !accepted.isNone();
  }
}
