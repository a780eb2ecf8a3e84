package slateslip.coordination;

/** What a node writes to its disk. */
public sealed interface DurableRecord {
  /**
   * Everything that the node keeps; stands for all records before it.
   *
   * @param self the node's identity
   * @param witness its votes
   * @param installedTerm newest term whose state it has installed
   * @param state the replica's state, complete
   */
  record Snapshot(NodeId self, WitnessState witness, PrimaryTerm installedTerm, StateTransfer state)
      implements DurableRecord {}

  /**
   * A change of the witness state.
   *
   * @param witness new value, complete
   */
  record Vote(WitnessState witness) implements DurableRecord {}

  /**
   * State taken over from a primary.
   *
   * @param term of that primary
   * @param state replaces what is there from its base on
   */
  record Installation(PrimaryTerm term, StateTransfer state) implements DurableRecord {}

  /**
   * One record.
   *
   * @param sequence of the record
   * @param committedSequence committed when it was written
   * @param record its bytes
   */
  record Entry(long sequence, long committedSequence, byte[] record) implements DurableRecord {}
}
