package slateslip.routing;

import java.util.List;
import slateslip.configuration.RoutingTable;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;

/** An event that the host passes to a {@link RequestRouter}. */
public sealed interface RouterInput {
  /** A new configuration applies. Attempts in flight are not affected. */
  record TableChanged(RoutingTable table) implements RouterInput {}

  /**
   * The list of registered backends has changed. The input holds all ready and draining backends of
   * all services.
   */
  record BackendsChanged(List<BackendSession> backends) implements RouterInput {}

  /** The quota allocator has assigned a new share of the fleet-wide limits to this data plane. */
  record QuotaAllocationChanged(QuotaAllocation allocation) implements RouterInput {}

  /**
   * The key lease is extended: requests with keys may be sent until this time, in microseconds of
   * the host's steady clock.
   */
  record KeyLeaseExtended(long untilMicros) implements RouterInput {}

  /**
   * A complete request has been read from a client.
   *
   * @param request id of the request in later inputs and outputs; no pending request has the same
   *     id
   */
  record RequestArrived(long request, RequestAttributes attributes) implements RouterInput {}

  /**
   * The client closed its connection before its response was complete; no response is needed any
   * more.
   */
  record ClientDisconnected(long request) implements RouterInput {}

  /**
   * The first event of a stream, or the response head of another request, was forwarded to the
   * client or is about to be. For a stream with more than one active attempt, the host repeats this
   * input when one of the attempts makes progress.
   *
   * @param load load that the backend reported in the response head of a stream; null if it
   *     reported none
   */
  record AttemptStarted(long request, int attempt, BackendLoad load) implements RouterInput {}

  /**
   * A stream that has begun has made no progress for the {@code idleTimeoutMicros} of its attempt.
   * The host repeats this input each time the timeout elapses again. The backend may still resume
   * the stream.
   */
  record StreamIdle(long request, int attempt) implements RouterInput {}

  /**
   * An attempt has ended. The host sends exactly one such input per {@link
   * RouterOutput.SendAttempt}.
   *
   * @param load load that the backend reported in this response; null if it reported none, and null
   *     for a stream that has started, because {@link AttemptStarted} holds the load in that case
   * @param lastEventId id of the last complete event that was forwarded to the client; -1 if none
   */
  record AttemptEnded(
      long request, int attempt, AttemptOutcome outcome, BackendLoad load, long lastEventId)
      implements RouterInput {}

  /**
   * A health probe has ended. The host sends exactly one such input per {@link RouterOutput.Probe}.
   */
  record ProbeEnded(String backendId, ProbeOutcome outcome, BackendLoad load)
      implements RouterInput {}

  /** The time requested by {@link RouterOutput.WakeAt} has been reached. */
  record Wake() implements RouterInput {}

  /**
   * The process shuts down. The router continues to serve pending requests and requests that still
   * arrive.
   */
  record ShutdownStarted() implements RouterInput {}

  /**
   * The load that a backend reported in {@code X-Backend-Load}: numbers of running requests, of
   * waiting requests and of slots.
   */
  record BackendLoad(int running, int waiting, int slots) {}

  /** The result of a health probe. */
  enum ProbeOutcome {
    /** The probed backend responded with status 200. */
    HEALTHY,
    /** The probed backend responded with another status. */
    UNHEALTHY,
    /** The backend rejected the probe without processing it because the backend is full. */
    FULL,
    /** The backend did not respond before the timeout of the probe. */
    TIMEOUT,
    /** The connection could not be established, or it failed before a response. */
    UNREACHABLE,
    /** Another instance responded at the address of the backend. */
    OTHER_INSTANCE
  }

  /**
   * The result of an attempt.
   *
   * @param kind kind of the result
   * @param status HTTP status of the backend's response; 0 if there was no response
   */
  record AttemptOutcome(Kind kind, int status) {
    /** Kinds of results of an attempt. */
    public enum Kind {
      /**
       * The backend sent a complete, valid response with a success status. The host forwards it
       * completely.
       */
      SUCCESS,
      /**
       * The backend sent a complete response with a failure status and an {@code X-Response-Stamp},
       * so the request ran. The host keeps the response for {@link RouterOutput.RelayError}.
       */
      ERROR_RESPONSE,
      /** The backend reported with {@code X-Not-Executed} that it did not run the request. */
      NOT_EXECUTED,
      /**
       * The response had status 421: another instance uses the address, and the request did not
       * run.
       */
      OTHER_INSTANCE,
      /** The host did not send the request because the key lease had expired. */
      WITHHELD,
      /** No byte of the request can have reached the backend because no connection accepted any. */
      NOT_SENT,
      /**
       * The connection failed or the response was invalid, after at least one byte of the request
       * was sent.
       */
      BROKEN,
      /**
       * The timeout expired without a response, after at least one byte of the request was sent.
       */
      TIMEOUT,
      /** The attempt was cancelled by {@link RouterOutput.CancelAttempt}. */
      CANCELLED;

      /**
       * Returns whether an attempt with this result does not count against the route's {@code
       * max_attempts}.
       */
      public boolean isExcludedFromAttemptLimit() {
        return this == NOT_SENT || this == WITHHELD || this == OTHER_INSTANCE;
      }
    }

    /** Returns whether the backend may have run the request. */
    public boolean mayHaveRun() {
      return switch (kind) {
        case NOT_EXECUTED, OTHER_INSTANCE, NOT_SENT, WITHHELD -> false;
        case SUCCESS, ERROR_RESPONSE, BROKEN, TIMEOUT, CANCELLED -> true;
      };
    }
  }
}
