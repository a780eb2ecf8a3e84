package slateslip.coordination;

import java.util.Optional;

/** The response to a client's request. */
public sealed interface ClientResult {
  /** Returns the identifier of the request. */
  long clientToken();

  /**
   * The command's record is committed and applied.
   *
   * @param clientToken the identifier of the request
   * @param sequence the sequence number of the record
   */
  record Committed(long clientToken, long sequence) implements ClientResult {}

  /**
   * The command produced no record; the state from which the response was computed was current.
   *
   * @param clientToken the identifier of the request
   * @param response the response that {@link ReplicatedState#prepare} returned
   */
  record Responded(long clientToken, byte[] response) implements ClientResult {}

  /**
   * The committed state on this node is current.
   *
   * @param clientToken the identifier of the request
   */
  record Confirmed(long clientToken) implements ClientResult {}

  /**
   * This node is not the primary; the request had no effect.
   *
   * @param clientToken the identifier of the request
   * @param primary the probable address of the primary, or empty if unknown
   */
  record NotPrimary(long clientToken, Optional<NodeAddress> primary) implements ClientResult {}

  /**
   * The outcome of the request is unknown: a command may or may not take effect.
   *
   * @param clientToken the identifier of the request
   */
  record Unavailable(long clientToken) implements ClientResult {}
}
