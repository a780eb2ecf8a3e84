package slateslip.routing;

/** An action that a {@link RequestRouter} requests from its host. */
public sealed interface RouterOutput {
  /** Priority of requests that are sent without a {@code Priority} header. */
  int NO_PRIORITY = -1;

  /**
   * Value of {@code resumeAfter} that forwards the client's own {@code Last-Event-Id} unchanged.
   */
  long AS_SENT = -1;

  /**
   * Value of {@code resumeAfter} for a stream with another attempt in flight. The host sends the id
   * of the last event that it forwarded to the client, or the client's own {@code Last-Event-Id} if
   * it forwarded none.
   */
  long AFTER_LAST_EVENT = -2;

  /**
   * Sends the request to a backend. The host reports the end of the attempt with one {@link
   * RouterInput.AttemptEnded}.
   *
   * @param attempt number of the attempt within the request, from 0
   * @param backendId instance id of the backend, also sent as {@code X-Target-Instance}
   * @param deadlineMillis value of {@code X-Deadline-Ms}; 0 omits the header
   * @param firstEventTimeoutMicros timeout until the first event or the complete response; 0 for
   *     none
   * @param idleTimeoutMicros pause between events after which the host sends {@link
   *     RouterInput.StreamIdle}; 0 for none
   * @param priority 0 to 9, or {@link #NO_PRIORITY}
   * @param tenant value of {@code X-Tenant}; null for requests without a tenant
   * @param resumeAfter id of the event after which the stream resumes ({@code Last-Event-Id}),
   *     {@link #AS_SENT} or {@link #AFTER_LAST_EVENT}
   * @param estimate expectations at the time when the backend was chosen, for the request log
   */
  record SendAttempt(
      long request,
      int attempt,
      String backendId,
      long deadlineMillis,
      long firstEventTimeoutMicros,
      long idleTimeoutMicros,
      int priority,
      String tenant,
      long resumeAfter,
      Estimate estimate)
      implements RouterOutput {
    /** Creates an attempt without an estimate. */
    public SendAttempt(
        long request,
        int attempt,
        String backendId,
        long deadlineMillis,
        long firstEventTimeoutMicros,
        long idleTimeoutMicros,
        int priority,
        String tenant,
        long resumeAfter) {
      this(
          request,
          attempt,
          backendId,
          deadlineMillis,
          firstEventTimeoutMicros,
          idleTimeoutMicros,
          priority,
          tenant,
          resumeAfter,
          Estimate.NONE);
    }
  }

  /**
   * Expectations at the time when a backend was chosen.
   *
   * @param targetMicros target latency of the route, counted from the arrival of the request; 0 if
   *     not known
   * @param firstEventMicros expected time from the choice to the first event; 0 if not known
   * @param candidates number of backends that were considered
   */
  record Estimate(long targetMicros, long firstEventMicros, int candidates) {
    /** An estimate without any known value. */
    public static final Estimate NONE = new Estimate(0, 0, 0);
  }

  /**
   * Sends a final response that this data plane generates itself.
   *
   * @param status 401, 404, 408, 413, 429, 502, 503 or 504
   * @param retryAfterMicros value of {@code Retry-After}, in microseconds; 0 omits the header
   */
  record Respond(long request, int status, long retryAfterMicros) implements RouterOutput {}

  /**
   * Forwards the failure response of this attempt, which ended as {@code ERROR_RESPONSE}, to the
   * client unchanged.
   */
  record RelayError(long request, int attempt) implements RouterOutput {}

  /**
   * Closes the client's connection abruptly, so that the partial response cannot be mistaken for a
   * complete one.
   */
  record AbortConnection(long request, AbortReason reason) implements RouterOutput {}

  /** Cancels an attempt by closing its connection. The attempt ends as {@code CANCELLED}. */
  record CancelAttempt(long request, int attempt) implements RouterOutput {}

  /**
   * Sends a probe to the health path of a backend. The host reports the result with one {@link
   * RouterInput.ProbeEnded}.
   */
  record Probe(String backendId) implements RouterOutput {}

  /**
   * Requests a {@link RouterInput.Wake} at this time, in microseconds. Wake-ups that were requested
   * before for earlier times stay scheduled.
   */
  record WakeAt(long atMicros) implements RouterOutput {}
}
