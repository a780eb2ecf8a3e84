package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** The classes of requests in force, and those removed with requests still held. */
final class RequestClasses {
  private final LoadBalancerContext agent;
  private final List<RequestClassState> classes = new ArrayList<>();
  private final List<RequestClassState> byPriority;

  RequestClasses(LoadBalancerContext agent) {
    this.agent = agent;
    agent
        .settings
        .classes()
        .forEach(type -> classes.add(new RequestClassState(type, LatencyTracker.QUANTILE)));
    this.byPriority = new ArrayList<>(classes);
  }

  /** Those in force, by their positions in the settings. */
  List<RequestClassState> current() {
    return classes;
  }

  /** All, the most valuable first. */
  List<RequestClassState> byPriority() {
    return byPriority;
  }

  /** Whether requests are held for lack of capacity. */
  boolean hasQueued() {
    return byPriority.stream().anyMatch(state -> !state.queued.isEmpty());
  }

  /**
   * What is known of a class goes with its name; one that is removed ends with its last request
   * held.
   */
  void reload(SettingsReload next) {
    RequestClassState[] reloaded = new RequestClassState[agent.settings.classes().size()];
    for (int i = 0; i < classes.size(); i++) {
      int to = next.classes().get(i);
      if (to >= 0) {
        reloaded[to] = classes.get(i);
        reloaded[to].type = agent.settings.classes().get(to);
      }
    }
    classes.clear();
    for (int i = 0; i < reloaded.length; i++) {
      RequestClass type = agent.settings.classes().get(i);
      classes.add(
          reloaded[i] == null ? new RequestClassState(type, LatencyTracker.QUANTILE) : reloaded[i]);
    }
    byPriority.removeIf(state -> state.queued.isEmpty() || classes.contains(state));
    byPriority.addAll(0, classes);
  }
}
