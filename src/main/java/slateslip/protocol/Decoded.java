package slateslip.protocol;

/**
 * Result of decoding one message.
 *
 * @param <T> type of the expected messages
 */
public sealed interface Decoded<T> {
  /** A message was decoded successfully. */
  record Message<T>(T value) implements Decoded<T> {}

  /**
   * The header is complete, but the schema or the template is unknown to this program version. The
   * receiver skips the message.
   *
   * @param schema schema id of the message
   * @param template template id of the message
   */
  record Unknown<T>(int schema, int template) implements Decoded<T> {}

  /**
   * The bytes are not a valid message. The peer is faulty, and the receiver closes the connection.
   *
   * @param reason description of the error for the log
   */
  record Malformed<T>(String reason) implements Decoded<T> {}
}
