package slateslip.simulation.dataplane;

/** What a data plane sees on the connection of a {@link BackendCall}. */
sealed interface BackendReply {
  /** One whole event of a stream. */
  record Event(long id, boolean last) implements BackendReply {}

  /** A whole answer with success. */
  record Success() implements BackendReply {}

  /** A whole answer with a failure status; the request ran. */
  record Failure(int status) implements BackendReply {}

  /** Rejected unseen. */
  record NotExecuted() implements BackendReply {}

  /** Another instance has the address. */
  record OtherInstance() implements BackendReply {}

  /** No connection came up; nothing was sent. */
  record NotConnected() implements BackendReply {}

  /** The connection broke, or ended before the whole request had left. */
  record Reset() implements BackendReply {}
}
