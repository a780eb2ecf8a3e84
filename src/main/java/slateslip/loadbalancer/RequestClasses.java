package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** The classes of requests in force, and those removed with requests still held. */
final class RequestClasses {
  private final LoadBalancerContext agent;
  private final List<RequestClassState> classes = new ArrayList<>();
  private final List<RequestClassState> order;

  RequestClasses(LoadBalancerContext agent) {
    this.agent = agent;
    agent
        .settings
        .classes()
        .forEach(type -> classes.add(new RequestClassState(type, LatencyTracker.QUANTILE)));
    this.order = new ArrayList<>(classes);
  }

  /** Those in force, by their positions in the settings. */
  List<RequestClassState> current() {
    return classes;
  }

  /** All, the most valuable first. */
  List<RequestClassState> order() {
    return order;
  }

  /** Whether requests are held for want of room. */
  boolean waiting() {
    return order.stream().anyMatch(state -> !state.held.isEmpty());
  }

  /**
   * What is known of a class goes with its name; one that is removed ends with its last request
   * held.
   */
  void take(SettingsReload next) {
    RequestClassState[] after = new RequestClassState[agent.settings.classes().size()];
    for (int i = 0; i < classes.size(); i++) {
      int to = next.classes().get(i);
      if (to >= 0) {
        after[to] = classes.get(i);
        after[to].type = agent.settings.classes().get(to);
      }
    }
    classes.clear();
    for (int i = 0; i < after.length; i++) {
      RequestClass type = agent.settings.classes().get(i);
      classes.add(
          after[i] == null ? new RequestClassState(type, LatencyTracker.QUANTILE) : after[i]);
    }
    order.removeIf(state -> state.held.isEmpty() || classes.contains(state));
    order.addAll(0, classes);
  }
}
