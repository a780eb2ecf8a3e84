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

/** The backends that are known, what is learned of them, and the probes that are due. */
final class BackendTable {
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();
  private final Map<String, ServiceModel> services = new HashMap<>();
  private final RoutingPolicy policy;

  BackendTable(RoutingPolicy policy) {
    this.policy = policy;
  }

  /** Takes the whole list of registrations. */
  void registrations(long nowMicros, List<BackendSession> sessions) {
    Set<String> present = new HashSet<>();
    for (BackendSession session : sessions) {
      present.add(session.id());
      backends
          .computeIfAbsent(session.id(), id -> newBackend(nowMicros, session))
          .registered(session);
    }
    for (Backend backend : backends.values()) {
      if (!present.contains(backend.id())) {
        backend.withdrawn();
      }
    }
    backends.values().removeIf(Backend::forgettable);
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

  /** Backends of a service, those that may not be sent to included. */
  List<Backend> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Whether some backend of a service may be sent to. */
  boolean serves(String service) {
    for (Backend backend : ofService(service)) {
      if (backend.registered()) {
        return true;
      }
    }
    return false;
  }

  /** Health of the other backends of the same service. */
  List<BackendHealth> peers(Backend backend) {
    return ofService(backend.session().service()).stream()
        .filter(peer -> peer != backend)
        .map(peer -> peer.healthMonitor().health())
        .toList();
  }

  /** Takes what a backend told of its load. */
  static void reported(long nowMicros, Backend backend, BackendLoad load) {
    if (load != null) {
      backend.loadReported(load.running() + load.waiting(), nowMicros);
    }
  }

  /**
   * Probes that are due.
   *
   * @param dataPlanes that send to the same backends, and share the probes of idle ones
   */
  List<RouterOutput> probes(long nowMicros, int dataPlanes) {
    List<RouterOutput> probes = new ArrayList<>();
    for (Backend backend : backends.values()) {
      BackendHealthMonitor healthMonitor = backend.healthMonitor();
      healthMonitor.checkProbeTimeout(nowMicros);
      if (backend.registered() && healthMonitor.probeDue(nowMicros, idleProbeMicros(dataPlanes))) {
        healthMonitor.probeSent(nowMicros);
        probes.add(new RouterOutput.Probe(backend.id()));
      }
    }
    return probes;
  }

  /** All data planes together probe an idle backend as often as one alone would. */
  private long idleProbeMicros(int dataPlanes) {
    return policy.micros(RoutingParameter.IDLE_PROBE_MILLIS) * Math.max(1, dataPlanes);
  }

  /** When some backend is to be looked at again. */
  long nextCheckMicros(int dataPlanes) {
    long next = Long.MAX_VALUE;
    for (Backend backend : backends.values()) {
      next = Math.min(next, nextCheckMicros(backend, dataPlanes));
    }
    return next;
  }

  /** When one backend is to be looked at again. */
  long nextCheckMicros(Backend backend, int dataPlanes) {
    return backend.registered()
        ? backend.healthMonitor().nextCheckMicros(idleProbeMicros(dataPlanes))
        : Long.MAX_VALUE;
  }

  /** Takes how a probe ended; says of which backend, if that is still known. */
  Optional<Backend> probeEnded(long nowMicros, ProbeEnded ended) {
    Backend backend = backends.get(ended.backendId());
    if (backend == null) {
      return Optional.empty();
    }
    reported(nowMicros, backend, ended.load());
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
