package slateslip.coordination;

/** The application whose state is replicated. All methods must be deterministic. */
public interface ReplicatedState {
  /**
   * Checks a command against the committed state and returns the record to replicate or a response.
   * No other record is applied between this call and the application of the returned record.
   */
  PreparedCommand prepare(byte[] command);

  /** Applies a committed record to the state. */
  void apply(byte[] record);

  /** Returns a serialized snapshot of the complete state. */
  byte[] snapshot();

  /**
   * Replaces the complete state by a snapshot; an empty array stands for the state before the first
   * record.
   */
  void restore(byte[] snapshot);
}
