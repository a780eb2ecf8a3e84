package slateslip.coordination;

/** Whether the members and witnesses of a primary's view survive each tolerated loss. */
public enum PlacementState {
  /** This node is not the primary and does not observe the other nodes. */
  NOT_PRIMARY("this agent is not the primary"),
  /** The members and a majority of the witnesses survive each tolerated loss. */
  SURVIVES("survived"),
  /**
   * The members survive each tolerated loss; after some of these losses no majority of the
   * witnesses remains, and changes are accepted again only when the nodes are back.
   */
  MAJORITY_AT_RISK("a tolerated loss would leave no majority, and changes would wait for it"),
  /** A tolerated loss could take every copy, so changes are not accepted. */
  COPIES_AT_RISK("a tolerated loss could take all copies, so no change is accepted");

  private final String description;

  PlacementState(String description) {
    this.description = description;
  }

  /** Returns the state in words for operators. */
  public String description() {
    return description;
  }

  /** Returns whether a tolerated loss would take all copies or leave no majority. */
  public boolean isAtRisk() {
    return this == MAJORITY_AT_RISK || this == COPIES_AT_RISK;
  }
}
