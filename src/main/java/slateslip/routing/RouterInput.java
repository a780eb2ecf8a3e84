package slateslip.routing;

import java.util.List;
import slateslip.configuration.RoutingTable;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;

/** What can happen to a {@link RequestRouter}. */
public sealed interface RouterInput {
  /** Another configuration is in force; requests under way go on as they began. */
  record TableChanged(RoutingTable table) implements RouterInput {}

  /** The whole list of registered backends, ready and draining ones, of all services. */
  record BackendsChanged(List<BackendSession> backends) implements RouterInput {}

  /** This data plane's share of the fleet-wide limits. */
  record QuotaAllocationChanged(QuotaAllocation allocation) implements RouterInput {}

  /** Requests with keys may be sent until this time, in microseconds. */
  record KeyLeaseExtended(long untilMicros) implements RouterInput {}

  /**
   * A complete request has been read from a client.
   *
   * @param request identifies it in later inputs and outputs; not in use
   */
  record RequestArrived(long request, RequestAttributes attributes) implements RouterInput {}

  /** The client closed its connection before its response was complete; nothing more is owed. */
  record ClientGone(long request) implements RouterInput {}

  /**
   * An attempt's first event (streams) or answer head (others) was passed on or is about to be. Of
   * a stream that has more than one attempt it is told again when one of them goes on.
   *
   * @param load what the backend told of its load in the head of a stream; null if nothing
   */
  record AttemptStarted(long request, int attempt, BackendLoad load) implements RouterInput {}

  /**
   * A stream that has begun has made no progress for the attempt's {@code idleTimeoutMicros}; told
   * again each time that it has passed once more. Its backend may still go on.
   */
  record StreamIdle(long request, int attempt) implements RouterInput {}

  /**
   * An attempt has ended; exactly one per {@link RouterOutput.SendAttempt}.
   *
   * @param load what the backend told of its load in this answer; null if nothing, and for a stream
   *     that has started: its head told it then
   * @param lastEventId id of the last whole event passed on to the client; -1 if none
   */
  record AttemptEnded(
      long request, int attempt, AttemptOutcome outcome, BackendLoad load, long lastEventId)
      implements RouterInput {}

  /** A health probe has ended; exactly one per {@link RouterOutput.Probe}. */
  record ProbeEnded(String backendId, ProbeOutcome outcome, BackendLoad load)
      implements RouterInput {}

  /** The time asked for by {@link RouterOutput.WakeAt} has come. */
  record Wake() implements RouterInput {}

  /** The process is leaving: serve what is open, take what still comes. */
  record ShutdownStarted() implements RouterInput {}

  /** Running, waiting and slots as a backend told them in {@code X-Backend-Load}. */
  record BackendLoad(int running, int waiting, int slots) {}

  /** How a health probe ended. */
  enum ProbeOutcome {
    /** Status 200 by the backend that was asked. */
    HEALTHY,
    /** Another status by the backend that was asked. */
    UNHEALTHY,
    /** It turned the probe away unseen: full. */
    FULL,
    /** No response in the time given. */
    TIMEOUT,
    /** No connection, or it broke. */
    UNREACHABLE,
    /** Another instance answers at this address. */
    OTHER_INSTANCE
  }

  /**
   * How an attempt ended.
   *
   * @param kind what happened
   * @param status the backend's HTTP status; 0 if there was none
   */
  record AttemptOutcome(Kind kind, int status) {
    /** What happened to an attempt. */
    public enum Kind {
      /** A whole, valid success; it has been or is being passed on whole. */
      SUCCESS,
      /** A whole answer with a failure status and a stamp: the request ran. Kept for relaying. */
      ERROR_RESPONSE,
      /** The backend said that it did not run it ({@code X-Not-Executed}). */
      NOT_EXECUTED,
      /** Status 421: another instance has the address; it did not run. */
      OTHER_INSTANCE,
      /** Nothing was sent: the key lease had run out by then. */
      WITHHELD,
      /** No byte of the request can have reached the backend: no connection has taken any. */
      NOT_SENT,
      /**
       * The connection broke, or the response was no valid answer, after a first byte had been
       * sent.
       */
      BROKEN,
      /** No response in the time given, after a first byte had been sent. */
      TIMEOUT,
      /** Ended by {@link RouterOutput.CancelAttempt}. */
      CANCELLED;

      /** Whether it does not count among the backends that a request may be sent to. */
      public boolean isUncounted() {
        return this == NOT_SENT || this == WITHHELD || this == OTHER_INSTANCE;
      }
    }

    /** Whether the request may have run at the backend. */
    public boolean mayHaveRun() {
      return switch (kind) {
        case NOT_EXECUTED, OTHER_INSTANCE, NOT_SENT, WITHHELD -> false;
        case SUCCESS, ERROR_RESPONSE, BROKEN, TIMEOUT, CANCELLED -> true;
      };
    }
  }
}
