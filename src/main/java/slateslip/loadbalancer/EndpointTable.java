package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import slateslip.loadbalancer.LoadBalancer.Actions;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.policy.HealthParameters;
import slateslip.loadbalancer.policy.RendezvousHash;

/**
 * The servers that an agent knows: those listed now, and those gone at which requests are still
 * out.
 */
final class EndpointTable {
  private final HealthParameters health;
  private final Actions actions;
  private final Map<Long, Endpoint> targets = new HashMap<>();
  private final List<Endpoint> listed = new ArrayList<>();

  EndpointTable(HealthParameters health, Actions actions) {
    this.health = health;
    this.actions = actions;
  }

  /** The servers now listed, in the order of this agent's own hash. */
  List<Endpoint> listed() {
    return listed;
  }

  /** A server that is listed or at which requests are still out; null for any other. */
  Endpoint find(long id) {
    return targets.get(id);
  }

  /** Removes all but those of a complete list. */
  void retain(Collection<Server> entries) {
    Set<Long> complete = entries.stream().map(Server::id).collect(Collectors.toSet());
    List.copyOf(listed).stream().filter(each -> !complete.contains(each.id)).forEach(this::remove);
  }

  /**
   * Takes one line of the list.
   *
   * @return the server if this line says that it has started anew, else null
   */
  Endpoint apply(Server entry) {
    if (entry.phase() == Phase.GONE) {
      Endpoint removed = targets.get(entry.id());
      if (removed != null) {
        remove(removed);
      }
      return null;
    }
    Endpoint target = targets.computeIfAbsent(entry.id(), id -> new Endpoint(id, health));
    Server before = target.listing;
    if (before == null || target.removed) {
      listed.add(target);
    }
    target.removed = false;
    target.listing = entry;
    boolean ready = entry.phase() == Phase.READY;
    if (before != null && target.ready != ready) {
      log(target, ready ? "ready" : "draining: nothing new is sent");
    }
    target.ready = ready;
    boolean restarted = before == null || entry.startedAt() != before.startedAt();
    return entry.startedAt() > 0 && restarted ? target : null;
  }

  /**
   * Orders the listed by an agent's own hash: the first few are its subset, and each agent has
   * another.
   */
  void order(int agent) {
    listed.sort(Comparator.comparingLong(each -> RendezvousHash.weight(each.id, agent)));
  }

  private void remove(Endpoint target) {
    if (listed.remove(target)) {
      log(target, "gone from the list");
    }
    target.ready = false;
    target.removed = true;
    forget(target);
  }

  /**
   * Danger: servers come and go for ever. What is known of one goes with it once nothing is out.
   */
  void forget(Endpoint target) {
    if (target.removed && target.inFlight == 0) {
      targets.remove(target.id);
    }
  }

  /**
   * Zones and kinds go by their new positions, also of servers that only an attempt still knows.
   */
  void move(SettingsReload next, Collection<PendingRequest> open) {
    Set<Endpoint> known = new HashSet<>(targets.values());
    open.forEach(req -> req.attempts.forEach(attempt -> known.add(attempt.endpoint)));
    known.forEach(target -> target.listing = next.remapped(target.listing));
  }

  /** Tells on-call staff of a server, unless it is gone and nobody is to look after it. */
  void log(Endpoint target, String what) {
    if (!target.removed) {
      actions.log("server " + target.id + " " + what);
    }
  }
}
