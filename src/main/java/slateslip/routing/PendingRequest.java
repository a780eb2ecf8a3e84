package slateslip.routing;

import java.util.ArrayList;
import java.util.List;
import slateslip.configuration.Route;
import slateslip.configuration.RouteKind;
import slateslip.configuration.Tenant;
import slateslip.routing.placement.Backend;
import slateslip.routing.quota.QuotaCharge;

/** A request whose final response has not been sent or that has an attempt in flight. */
final class PendingRequest {
  /** The lowest priority that backends support; 0 is the highest. */
  private static final int LOWEST_PRIORITY = 9;

  /** Id of the request in the inputs and outputs of the router. */
  final long id;

  final RequestAttributes attributes;

  /** Tenant that owns the request's key; null if the request has no valid key. */
  final Tenant tenant;

  /** Units that one attempt of the request is charged against the tenant's quota. */
  final long units;

  final long arrivedMicros;

  /** Time at which the route's timeout or the client's deadline expires, whichever is earlier. */
  final long deadlineMicros;

  /** Route of the request in the configuration that applied when the request was last sent. */
  Route route;

  /**
   * Name of the service that was chosen among the route's targets; null until the request is
   * admitted.
   */
  String service;

  /** Units that are already charged for the next attempt; null if none are charged. */
  private QuotaCharge unusedCharge;

  final List<Attempt> attempts = new ArrayList<>();

  /** Number of attempts that count against the route's {@code max_attempts}. */
  int countedAttempts;

  /**
   * Whether a backend may have received the request; each further attempt then counts as a retry.
   */
  boolean reachedBackend;

  /** Whether the next retry has already been charged to the retry budget. */
  boolean retryCharged;

  /** Whether part of a response may have been sent to the client. */
  boolean started;

  /** Whether a backend may have run the request. */
  boolean mayHaveRun;

  /** Whether the final response was sent or the client has disconnected. */
  boolean responded;

  /** Id of the last event that was forwarded to the client; -1 if none. */
  long lastEventId = -1;

  PendingRequest(
      RouterInput.RequestArrived arrived,
      Route route,
      Tenant tenant,
      long units,
      long arrivedMicros,
      long deadlineMicros) {
    this.id = arrived.request();
    this.attributes = arrived.attributes();
    this.route = route;
    this.tenant = tenant;
    this.units = units;
    this.arrivedMicros = arrivedMicros;
    this.deadlineMicros = deadlineMicros;
  }

  /**
   * Adds the charge for the next attempt: either a new charge or that of an attempt that no backend
   * ran. If such a charge exists already, the added charge is released to the quota.
   */
  void addCharge(QuotaCharge charge) {
    if (unusedCharge == null) {
      unusedCharge = charge;
    } else {
      charge.release();
    }
  }

  /**
   * Removes and returns the charge for the next attempt; null if no units have been charged for it
   * yet.
   */
  QuotaCharge takeCharge() {
    QuotaCharge charge = unusedCharge;
    unusedCharge = null;
    return charge;
  }

  /** Releases the charge for the next attempt to the quota because no attempt follows. */
  void releaseUnusedCharge() {
    QuotaCharge charge = takeCharge();
    if (charge != null) {
      charge.release();
    }
  }

  /** Returns whether the request may be sent again after an attempt that may have run. */
  boolean repeatable() {
    return resumable() || (route.kind() == RouteKind.IDEMPOTENT && !started);
  }

  /** Returns whether the request is a stream that another backend can resume. */
  boolean resumable() {
    return route.kind() == RouteKind.STREAMING && route.resumable();
  }

  /** Returns whether the route permits another attempt. */
  boolean attemptsLeft() {
    return countedAttempts < route.maxAttempts();
  }

  /** Returns whether an attempt has not ended yet, whether cancelled or not. */
  boolean hasAttemptInFlight() {
    return attempts.stream().anyMatch(attempt -> !attempt.ended());
  }

  /** Returns the number of attempts that have neither ended nor been cancelled. */
  long activeAttempts() {
    return attempts.stream().filter(Attempt::active).count();
  }

  /** Returns whether the request was sent to this backend before. */
  boolean wasSentTo(Backend backend) {
    return attempts.stream().anyMatch(attempt -> attempt.backend() == backend);
  }

  /**
   * Returns the priority that is sent to the backend, 0 to 9: that of the tenant if set, otherwise
   * that of the route.
   */
  int priority() {
    int priority = tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
    return Math.max(0, Math.min(LOWEST_PRIORITY, priority));
  }

  /**
   * Returns the length of the whole prompt in tokens, as stated by the client or summed over the
   * prompt's parts.
   */
  long promptTokens() {
    if (attributes.promptTokens() >= 0) {
      return attributes.promptTokens();
    }
    return attributes.prompt().stream().mapToLong(RequestAttributes.PromptPart::tokens).sum();
  }
}
