package slateslip.dataplane.stream;

/**
 * One whole event of a stream.
 *
 * @param id its id; {@link #NO_ID} if it has none
 * @param bytes as sent, with the empty line that ends it
 */
public record StreamEvent(long id, byte[] bytes) {
  /** Of an event without an id. */
  public static final long NO_ID = -1;
}
