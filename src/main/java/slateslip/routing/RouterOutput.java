package slateslip.routing;

/** What a {@link RequestRouter} asks of its host. */
public sealed interface RouterOutput {
  /** Priority that leaves the {@code Priority} header out. */
  int NO_PRIORITY = -1;

  /**
   * Value of {@code resumeAfter} that passes the client's own {@code Last-Event-Id} on unchanged.
   */
  long AS_SENT = -1;

  /**
   * Value of {@code resumeAfter} for a stream that another attempt may still go on with: after the
   * last event that the host has passed on, or as the client sent it if there is none.
   */
  long AFTER_LAST_EVENT = -2;

  /**
   * Send the request to a backend; it ends with one {@link RouterInput.AttemptEnded}.
   *
   * @param attempt counted from 0 within the request
   * @param backendId instance id, also sent as {@code X-Target-Instance}
   * @param deadlineMillis what is sent as {@code X-Deadline-Ms}; 0 leaves it out
   * @param firstEventTimeoutMicros until the first event or whole answer; 0 for none
   * @param idleTimeoutMicros pause between events that is told as {@link RouterInput.StreamIdle}; 0
   *     for none
   * @param priority 0 to 9, or {@link #NO_PRIORITY}
   * @param tenant what is sent as {@code X-Tenant}; null on routes without keys
   * @param resumeAfter event id to go on after ({@code Last-Event-Id}), {@link #AS_SENT} or {@link
   *     #AFTER_LAST_EVENT}
   * @param estimate what was expected when the backend was chosen; for reports
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
    /** An attempt of which nothing is expected. */
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
   * What was expected when a backend was chosen.
   *
   * @param targetMicros latency objective of the route, from the request's arrival; 0 if not known
   * @param firstEventMicros until the first event, from then on; 0 if not known
   * @param candidates backends that it was chosen from
   */
  record Estimate(long targetMicros, long firstEventMicros, int candidates) {
    /** Nothing is known. */
    public static final Estimate NONE = new Estimate(0, 0, 0);
  }

  /**
   * Give the final answer of this data plane's own.
   *
   * @param status 401, 404, 408, 413, 429, 502, 503 or 504
   * @param retryAfterMicros what {@code Retry-After} says; 0 leaves it out
   */
  record Respond(long request, int status, long retryAfterMicros) implements RouterOutput {}

  /** Pass on the failure answer of this attempt ({@code ERROR_ANSWER}) unchanged. */
  record RelayError(long request, int attempt) implements RouterOutput {}

  /** Break the client's connection off, so that what it has had cannot look complete. */
  record AbortConnection(long request, AbortReason reason) implements RouterOutput {}

  /** Stop an attempt: close its connection. It ends as {@code CANCELLED}. */
  record CancelAttempt(long request, int attempt) implements RouterOutput {}

  /** Ask a backend's health path; it ends with one {@link RouterInput.ProbeEnded}. */
  record Probe(String backendId) implements RouterOutput {}

  /** Send {@link RouterInput.Wake} at this time; an earlier wish still stands. */
  record WakeAt(long atMicros) implements RouterOutput {}
}
