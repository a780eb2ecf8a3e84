package slateslip.coordination;

/** The application whose state is replicated. All methods are deterministic. */
public interface ReplicatedState {
  /** Checks a command against the committed state, which nothing else changes meanwhile. */
  PreparedCommand prepare(byte[] command);

  /** Applies a committed record. */
  void apply(byte[] record);

  /** The complete state. */
  byte[] snapshot();

  /** Replaces the complete state; an empty array is the state before the first record. */
  void restore(byte[] snapshot);
}
