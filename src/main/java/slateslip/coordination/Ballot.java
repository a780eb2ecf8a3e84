package slateslip.coordination;

/**
 * Number of a proposal for the next view; ballots of different nodes differ.
 *
 * @param round 1 or more; 0 only in {@link #NONE}
 * @param proposer who proposes
 */
public record Ballot(long round, NodeId proposer) implements Comparable<Ballot> {
  /** Lower than every ballot. */
  public static final Ballot NONE = new Ballot(0, NodeId.NONE);

  /** Whether this is {@link #NONE}. */
  public boolean isNone() {
    return round == 0;
  }

  @Override
  public int compareTo(Ballot other) {
    int byRound = Long.compare(round, other.round);
    return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
  }
}
