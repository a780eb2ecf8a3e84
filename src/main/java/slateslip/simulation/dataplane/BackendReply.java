package slateslip.simulation.dataplane;

/** An event that a data plane observes on the connection of a {@link BackendCall}. */
sealed interface BackendReply {
  /** One complete event of a stream. */
  record Event(long id, boolean last) implements BackendReply {}

  /** A complete successful response. */
  record Success() implements BackendReply {}

  /** A complete response with a failure status; the backend executed the request. */
  record Failure(int status) implements BackendReply {}

  /** A rejection by a backend that did not execute the request. */
  record NotExecuted() implements BackendReply {}

  /** A rejection because another backend instance now has the address. */
  record OtherInstance() implements BackendReply {}

  /** The connection could not be established; nothing was sent. */
  record NotConnected() implements BackendReply {}

  /** The connection broke, or ended before the complete request was sent. */
  record Reset() implements BackendReply {}
}
