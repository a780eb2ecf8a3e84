package slateslip.coordination;

/** One core node's part in keeping the control state. */
public final class ControlReplica {
  /**
   * A replica; its first input is {@link ReplicaInput.Start}.
   *
   * @param settings of this node
   * @param state the replicated application, in its state before the first record
   * @param randomSeed for identities and backoff
   */
  public ControlReplica(ReplicaSettings settings, ReplicatedState state, long randomSeed) {}

  /**
   * Handles one input.
   *
   * @param nowMicros steady time
   */
  public Effects handle(long nowMicros, ReplicaInput input) {
    throw new UnsupportedOperationException("not written yet");
  }
}
