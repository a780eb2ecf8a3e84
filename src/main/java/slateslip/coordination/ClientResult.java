package slateslip.coordination;

import java.util.Optional;

/** Response to a client's call. */
public sealed interface ClientResult {
  /** Names the call. */
  long clientToken();

  /**
   * The command's record is committed and applied.
   *
   * @param clientToken names the call
   * @param sequence of the record
   */
  record Committed(long clientToken, long sequence) implements ClientResult {}

  /**
   * The command made no record; the state that answered it was current.
   *
   * @param clientToken names the call
   * @param response of {@link ReplicatedState#prepare}
   */
  record Responded(long clientToken, byte[] response) implements ClientResult {}

  /**
   * The state is current.
   *
   * @param clientToken names the call
   */
  record Confirmed(long clientToken) implements ClientResult {}

  /**
   * Another node is the primary; nothing was done.
   *
   * @param clientToken names the call
   * @param primary where it may be, if known
   */
  record NotPrimary(long clientToken, Optional<NodeAddress> primary) implements ClientResult {}

  /**
   * No clear response: the command may or may not come into force.
   *
   * @param clientToken names the call
   */
  record Unavailable(long clientToken) implements ClientResult {}
}
