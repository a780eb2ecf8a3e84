package slateslip.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateslip.configuration.Route;
import slateslip.configuration.RouteKind;
import slateslip.configuration.Tenant;

/** A request that is not finished: its final answer is owed, or an attempt of it has not ended. */
final class OpenRequest {
  /** One attempt; its index in {@link #attempts} is its number. */
  static final class Attempt {
    final Backend backend;
    final long sentMicros;
    boolean ended;

    Attempt(Backend backend, long sentMicros) {
      this.backend = backend;
      this.sentMicros = sentMicros;
    }
  }

  /** Identifies the request between router and host. */
  final long id;

  final RequestFacts facts;
  final Route route;

  /** Service chosen among the route's targets. */
  final String service;

  /** Tenant of the key; null on routes without keys. */
  final Tenant tenant;

  final long arrivedMicros;

  /** When the route's time-out or the client's deadline is reached. */
  final long endMicros;

  final List<Attempt> attempts = new ArrayList<>();

  /** Ids of the backends that were tried. */
  final Set<String> tried = new HashSet<>();

  /** Attempts that count against the route's {@code max_attempts}. */
  int countedAttempts;

  /** Whether an attempt's answer has begun to be passed on. */
  boolean started;

  /** Whether a backend may have worked on it. */
  boolean mayHaveRun;

  /** Whether the final answer was given, or is no longer owed. */
  boolean answered;

  /** Id of the last event passed on to the client; -1 if none. */
  long lastEventId = -1;

  OpenRequest(
      long id,
      RequestFacts facts,
      Route route,
      String service,
      Tenant tenant,
      long arrivedMicros,
      long endMicros) {
    this.id = id;
    this.facts = facts;
    this.route = route;
    this.service = service;
    this.tenant = tenant;
    this.arrivedMicros = arrivedMicros;
    this.endMicros = endMicros;
  }

  /** Whether it may run more than once. */
  boolean repeatable() {
    return route.kind() == RouteKind.IDEMPOTENT || resumable();
  }

  /** Whether its stream may be taken up at another backend. */
  boolean resumable() {
    return route.kind() == RouteKind.STREAMING && route.resumable();
  }

  /** Whether an attempt has not ended yet. */
  boolean attemptOut() {
    return attempts.stream().anyMatch(attempt -> !attempt.ended);
  }

  /** Priority told to the backend: the tenant's if it has one, else the route's. */
  int priority() {
    return tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
  }
}
