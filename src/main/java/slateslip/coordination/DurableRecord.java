package slateslip.coordination;

/** A record that a node writes to its disk. */
public sealed interface DurableRecord {
  /**
   * A snapshot of everything that the node stores, which replaces all earlier records.
   *
   * @param self the identity of the node
   * @param witness the state of the node's witness, with its vote
   * @param installedTerm the newest term whose state the node has installed
   * @param state the complete state of the replica
   */
  record Snapshot(NodeId self, WitnessState witness, PrimaryTerm installedTerm, StateTransfer state)
      implements DurableRecord {}

  /**
   * A change of the witness state.
   *
   * @param witness the complete new witness state
   */
  record Vote(WitnessState witness) implements DurableRecord {}

  /**
   * The installation of a state that a primary sent, or of the primary's own state at the start of
   * its term.
   *
   * @param term the term of the primary
   * @param state the state, which replaces the local state from the base sequence number on
   */
  record Installation(PrimaryTerm term, StateTransfer state) implements DurableRecord {}

  /**
   * One record of the replicated state.
   *
   * @param sequence the sequence number of the record
   * @param committedSequence the sequence number of the last record known to be committed when this
   *     record was written
   * @param record the bytes of the record
   */
  record Entry(long sequence, long committedSequence, byte[] record) implements DurableRecord {}
}
