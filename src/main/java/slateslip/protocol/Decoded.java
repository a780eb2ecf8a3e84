package slateslip.protocol;

/**
 * What came of reading one message.
 *
 * @param <T> kind of message that was looked for
 */
public sealed interface Decoded<T> {
  /** A complete message. */
  record Message<T>(T value) implements Decoded<T> {}

  /**
   * A well-formed header of a message that this version does not know; to be skipped.
   *
   * @param schema id of its schema
   * @param template id of its kind
   */
  record Unknown<T>(int schema, int template) implements Decoded<T> {}

  /**
   * No message: the peer is broken, and the connection is to be closed.
   *
   * @param reason for the log
   */
  record Malformed<T>(String reason) implements Decoded<T> {}
}
