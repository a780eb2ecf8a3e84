package slateslip.dataplane.stream;

/**
 * One complete event of a stream.
 *
 * @param id numeric id of the event, or {@link #NO_ID} if the event has no such id
 * @param bytes bytes as received, including the empty line that ends the event
 */
public record StreamEvent(long id, byte[] bytes) {
  /** Id of an event without a numeric id. */
  public static final long NO_ID = -1;
}
