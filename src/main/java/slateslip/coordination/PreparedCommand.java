package slateslip.coordination;

/** The outcome of preparing a command: a record to replicate or an immediate response. */
public sealed interface PreparedCommand {
  /**
   * A record to replicate.
   *
   * @param record the bytes of the record
   */
  record Change(byte[] record) implements PreparedCommand {}

  /**
   * A response that does not change the state.
   *
   * @param response the response, which is returned to the client
   */
  record Response(byte[] response) implements PreparedCommand {}
}
