package slateslip.coordination;

/** What becomes of a command. */
public sealed interface Preparation {
  /**
   * A record to be replicated.
   *
   * @param record its bytes
   */
  record Change(byte[] record) implements Preparation {}

  /**
   * An answer from the state as it is.
   *
   * @param answer handed back to the client
   */
  record Answer(byte[] answer) implements Preparation {}
}
