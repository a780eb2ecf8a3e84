package slateslip.coordination;

/** What becomes of a command. */
public sealed interface PreparedCommand {
  /**
   * A record to be replicated.
   *
   * @param record its bytes
   */
  record Change(byte[] record) implements PreparedCommand {}

  /**
   * A response from the state as it is.
   *
   * @param response handed back to the client
   */
  record Response(byte[] response) implements PreparedCommand {}
}
