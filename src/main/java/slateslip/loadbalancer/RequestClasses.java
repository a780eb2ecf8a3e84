package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** The request classes in force, and removed classes that still have queued requests. */
final class RequestClasses {
  private final LoadBalancerContext context;
  private final List<RequestClassState> classes = new ArrayList<>();
  private final List<RequestClassState> byPriority;

  RequestClasses(LoadBalancerContext context) {
    this.context = context;
    context
        .settings
        .classes()
        .forEach(type -> classes.add(new RequestClassState(type, LatencyTracker.QUANTILE)));
    this.byPriority = new ArrayList<>(classes);
  }

  /** Returns the classes in force, by their positions in the settings. */
  List<RequestClassState> current() {
    return classes;
  }

  /** Returns all classes, those with the highest priority first. */
  List<RequestClassState> byPriority() {
    return byPriority;
  }

  /** Returns whether any request is queued for lack of capacity. */
  boolean hasQueued() {
    return byPriority.stream().anyMatch(state -> !state.queued.isEmpty());
  }

  /**
   * Applies new settings. The state of a class follows the class's name; a removed class is kept
   * until its last queued request is gone.
   */
  void reload(SettingsReload next) {
    RequestClassState[] reloaded = new RequestClassState[context.settings.classes().size()];
    for (int i = 0; i < classes.size(); i++) {
      int to = next.classes().get(i);
      if (to >= 0) {
        reloaded[to] = classes.get(i);
        reloaded[to].type = context.settings.classes().get(to);
      }
    }
    classes.clear();
    for (int i = 0; i < reloaded.length; i++) {
      RequestClass type = context.settings.classes().get(i);
      classes.add(
          reloaded[i] == null ? new RequestClassState(type, LatencyTracker.QUANTILE) : reloaded[i]);
    }
    byPriority.removeIf(state -> state.queued.isEmpty() || classes.contains(state));
    byPriority.addAll(0, classes);
  }
}
