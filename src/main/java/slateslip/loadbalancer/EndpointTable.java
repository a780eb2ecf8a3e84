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
 * The servers known to an agent: those in the server list, and those removed from the list that
 * still have requests in flight.
 */
final class EndpointTable {
  private final HealthParameters health;
  private final Actions actions;
  private final Map<Long, Endpoint> endpoints = new HashMap<>();
  private final List<Endpoint> listed = new ArrayList<>();

  EndpointTable(HealthParameters health, Actions actions) {
    this.health = health;
    this.actions = actions;
  }

  /** Returns the servers in the server list, ordered by a hash that differs between agents. */
  List<Endpoint> listed() {
    return listed;
  }

  /**
   * Returns the server with this id, or null if the server is neither listed nor has requests in
   * flight.
   */
  Endpoint find(long id) {
    return endpoints.get(id);
  }

  /** Removes the listed servers that a complete list does not contain. */
  void retain(Collection<Server> entries) {
    Set<Long> complete = entries.stream().map(Server::id).collect(Collectors.toSet());
    List.copyOf(listed).stream().filter(each -> !complete.contains(each.id)).forEach(this::remove);
  }

  /**
   * Applies one entry of the server list.
   *
   * @return the server if the entry reports a start that is new to this agent, else null
   */
  Endpoint apply(Server entry) {
    if (entry.phase() == Phase.GONE) {
      Endpoint removed = endpoints.get(entry.id());
      if (removed != null) {
        remove(removed);
      }
      return null;
    }
    Endpoint target = endpoints.computeIfAbsent(entry.id(), id -> new Endpoint(id, health));
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
   * Sorts the listed servers by a hash of server and agent: the first few are the agent's subset,
   * and each agent gets a different subset.
   */
  void sortByHash(int agent) {
    listed.sort(Comparator.comparingLong(each -> RendezvousHash.weight(each.id, agent)));
  }

  private void remove(Endpoint target) {
    if (listed.remove(target)) {
      log(target, "gone from the list");
    }
    target.ready = false;
    target.removed = true;
    dropIfUnused(target);
  }

  /**
   * Drops a removed server without requests in flight. Servers come and go all the time; without
   * this, the table would grow without limit.
   */
  void dropIfUnused(Endpoint target) {
    if (target.removed && target.inFlight == 0) {
      endpoints.remove(target.id);
    }
  }

  /**
   * Replaces zone and kind of each known server by their new positions, including servers that only
   * an attempt still refers to.
   */
  void remap(SettingsReload next, Collection<PendingRequest> open) {
    Set<Endpoint> known = new HashSet<>(endpoints.values());
    open.forEach(req -> req.attempts.forEach(attempt -> known.add(attempt.endpoint)));
    known.forEach(target -> target.listing = next.remapped(target.listing));
  }

  /**
   * Logs a change of a server for the operators, unless the server has been removed from the list.
   */
  void log(Endpoint target, String what) {
    if (!target.removed) {
      actions.log("server " + target.id + " " + what);
    }
  }
}
