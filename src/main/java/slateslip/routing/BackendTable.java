package slateslip.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeEnded;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.placement.Backend;
import slateslip.routing.placement.ServiceModel;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * The registered backends, their state as this data plane observes it, and the probes that are due.
 */
final class BackendTable {
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();
  private final Map<String, ServiceModel> services = new HashMap<>();
  private final RoutingPolicy policy;

  BackendTable(RoutingPolicy policy) {
    this.policy = policy;
  }

  /**
   * Replaces the list of registrations. Backends that are no longer registered are kept until their
   * last request has ended.
   */
  void replaceRegistrations(long nowMicros, List<BackendSession> sessions) {
    Set<String> present = new HashSet<>();
    for (BackendSession session : sessions) {
      present.add(session.id());
      backends
          .computeIfAbsent(session.id(), id -> newBackend(nowMicros, session))
          .updateRegistration(session);
    }
    for (Backend backend : backends.values()) {
      if (!present.contains(backend.id())) {
        backend.withdrawn();
      }
    }
    backends.values().removeIf(Backend::canBeRemoved);
    byService.clear();
    for (Backend backend : backends.values()) {
      byService
          .computeIfAbsent(backend.session().service(), service -> new ArrayList<>())
          .add(backend);
    }
  }

  private Backend newBackend(long nowMicros, BackendSession session) {
    ServiceModel service =
        services.computeIfAbsent(session.service(), name -> ServiceModel.initial(policy));
    return new Backend(session, nowMicros, service, policy);
  }

  /** Returns all known backends of a service, including those that accept no new requests. */
  List<Backend> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns whether at least one backend of a service accepts new requests. */
  boolean hasAcceptingBackend(String service) {
    for (Backend backend : ofService(service)) {
      if (backend.acceptsRequests()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the health of the other backends of the same service. */
  List<BackendHealth> peers(Backend backend) {
    return ofService(backend.session().service()).stream()
        .filter(peer -> peer != backend)
        .map(peer -> peer.healthMonitor().health())
        .toList();
  }

  /** Records the load that a backend reported; does nothing if the load is null. */
  static void recordLoad(long nowMicros, Backend backend, BackendLoad load) {
    if (load != null) {
      backend.loadReported(load.running() + load.waiting(), nowMicros);
    }
  }

  /**
   * Returns the probes that are due now and marks them as sent.
   *
   * @param dataPlanes number of data planes that send to the same backends and share the probing of
   *     idle backends
   */
  List<RouterOutput> takeDueProbes(long nowMicros, int dataPlanes) {
    List<RouterOutput> probes = new ArrayList<>();
    for (Backend backend : backends.values()) {
      BackendHealthMonitor healthMonitor = backend.healthMonitor();
      healthMonitor.checkProbeTimeout(nowMicros);
      if (backend.acceptsRequests()
          && healthMonitor.probeDue(nowMicros, idleProbeMicros(dataPlanes))) {
        healthMonitor.probeSent(nowMicros);
        probes.add(new RouterOutput.Probe(backend.id()));
      }
    }
    return probes;
  }

  /**
   * Returns the probe interval of idle backends. The interval grows with the number of data planes,
   * so that all data planes together probe an idle backend as often as a single one would.
   */
  private long idleProbeMicros(int dataPlanes) {
    return policy.micros(RoutingParameter.IDLE_PROBE_MILLIS) * Math.max(1, dataPlanes);
  }

  /**
   * Returns the time of the next health check of any backend, in microseconds; {@link
   * Long#MAX_VALUE} if none is due.
   */
  long nextCheckMicros(int dataPlanes) {
    long next = Long.MAX_VALUE;
    for (Backend backend : backends.values()) {
      next = Math.min(next, nextCheckMicros(backend, dataPlanes));
    }
    return next;
  }

  /**
   * Returns the time of the next health check of a backend, in microseconds; {@link Long#MAX_VALUE}
   * if none is due.
   */
  long nextCheckMicros(Backend backend, int dataPlanes) {
    return backend.acceptsRequests()
        ? backend.healthMonitor().nextCheckMicros(idleProbeMicros(dataPlanes))
        : Long.MAX_VALUE;
  }

  /**
   * Records the result of a probe.
   *
   * @return the backend that was probed; empty if the backend is no longer known
   */
  Optional<Backend> probeEnded(long nowMicros, ProbeEnded ended) {
    Backend backend = backends.get(ended.backendId());
    if (backend == null) {
      return Optional.empty();
    }
    recordLoad(nowMicros, backend, ended.load());
    BackendHealthMonitor healthMonitor = backend.healthMonitor();
    switch (ended.outcome()) {
      case HEALTHY -> healthMonitor.probeSucceeded(nowMicros);
      case FULL -> healthMonitor.probeRejected(nowMicros);
      case UNHEALTHY, UNREACHABLE -> healthMonitor.probeFailed();
      case TIMEOUT -> healthMonitor.probeTimedOut();
      case OTHER_INSTANCE -> backend.replaced();
    }
    return Optional.of(backend);
  }
}
