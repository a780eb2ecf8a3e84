package slateslip.controlplane.agent;

import slateslip.coordination.PrimaryTerm;

/**
 * Identifies the term of a quota allocator by the term of the primary that holds the allocator
 * role.
 *
 * @param term term of the primary
 */
record AllocatorTerm(PrimaryTerm term) {
  /** Exceeds the number of times that the primary of one epoch can restart. */
  private static final long MAX_INCARNATIONS = 1L << 20;

  private static final PrimaryTerm FIRST = new PrimaryTerm(1, 1);

  /** Returns a number that increases from each term to the next. */
  long number() {
    return term.epoch() * MAX_INCARNATIONS + term.incarnation();
  }

  /**
   * Returns whether no other agent can have been the primary between an earlier term of this agent
   * and this term.
   */
  boolean continues(AllocatorTerm earlier) {
    boolean nextEpoch = term.epoch() == earlier.term.epoch() + 1 && term.incarnation() == 1;
    return term.equals(earlier.term) || nextEpoch;
  }

  /** Returns whether no allocator can have existed before this term. */
  boolean isFirst() {
    return term.equals(FIRST);
  }
}
