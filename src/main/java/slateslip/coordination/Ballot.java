package slateslip.coordination;

/**
 * Number of a proposal for the next view. Ballots of different proposers are never equal.
 *
 * @param round a number from 1 upwards; 0 only in {@link #NONE}
 * @param proposer the node that proposes
 */
public record Ballot(long round, NodeId proposer) implements Comparable<Ballot> {
  /** Stands for the absence of a ballot and is lower than every ballot. */
  public static final Ballot NONE = new Ballot(0, NodeId.NONE);

  /** Returns whether this ballot is {@link #NONE}. */
  public boolean isNone() {
    return round == 0;
  }

  @Override
  public int compareTo(Ballot other) {
    int byRound = Long.compare(round, other.round);
    return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
  }
}
