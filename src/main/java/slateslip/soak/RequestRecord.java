package slateslip.soak;

/**
 * One request of a client and its result. Times are in milliseconds since the start of the run.
 *
 * @param attemptId attempt id of the request, which no other request has
 * @param kind kind of the request
 * @param process {@linkplain ProcessIncarnation#name name} of the data plane incarnation that
 *     received the request
 * @param sentMillis time just before the request was written to the connection
 * @param endMillis time when the client had read the response or noticed the end of the connection
 * @param outcome how the request ended
 * @param status status of the response, or 0 if no complete response was read
 */
record RequestRecord(
    String attemptId,
    Kind kind,
    String process,
    long sentMillis,
    long endMillis,
    Outcome outcome,
    int status) {
  /** Kind of a request. */
  enum Kind {
    /** A request for a stream that can be resumed. */
    STREAM(true),
    /** An entry that may be executed at most once. */
    ENTRY(false),
    /** An entry on the optional route, which configuration changes remove and add again. */
    OPTIONAL_ENTRY(false),
    /** An entry of the tenant whose requests exceed its quota. */
    LIMITED_ENTRY(false);

    private final boolean repeatable;

    Kind(boolean repeatable) {
      this.repeatable = repeatable;
    }

    /** Returns whether a request of this kind may be executed more than once. */
    boolean isRepeatable() {
      return repeatable;
    }
  }

  /** Ways in which a request can end. */
  enum Outcome {
    /** The client read a complete response with the expected content. */
    COMPLETE,
    /** The client read a complete response with unexpected content. */
    WRONG,
    /** The connection ended after the first byte and before the last byte of the response. */
    TRUNCATED,
    /** The connection ended before any byte of the response. */
    NO_RESPONSE
  }
}
