package slateslip.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeEnded;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.placement.Backend;

/** The backends that are known, what is learned of them, and the probes that are due. */
final class BackendTable {
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();

  /** Takes the whole list of registrations. */
  void registrations(long nowMicros, List<BackendSession> sessions) {
    Set<String> present = new HashSet<>();
    for (BackendSession session : sessions) {
      present.add(session.id());
      backends
          .computeIfAbsent(session.id(), id -> new Backend(session, nowMicros))
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

  /** Backends of a service, those that may not be sent to included. */
  List<Backend> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Whether some backend of a service may be sent to. */
  boolean serves(String service) {
    return ofService(service).stream().anyMatch(Backend::registered);
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

  /** Probes that are due. */
  List<RouterOutput> probes(long nowMicros) {
    List<RouterOutput> probes = new ArrayList<>();
    for (Backend backend : backends.values()) {
      BackendHealthMonitor healthMonitor = backend.healthMonitor();
      healthMonitor.checkProbeTimeout(nowMicros);
      if (backend.registered() && healthMonitor.probeDue(nowMicros)) {
        healthMonitor.probeSent(nowMicros);
        probes.add(new RouterOutput.Probe(backend.id()));
      }
    }
    return probes;
  }

  /** Takes how a probe ended. */
  void probeEnded(long nowMicros, ProbeEnded ended) {
    Backend backend = backends.get(ended.backendId());
    if (backend == null) {
      return;
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
  }
}
