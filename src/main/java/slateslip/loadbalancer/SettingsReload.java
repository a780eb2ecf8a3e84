package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;

/**
 * New settings for a running load balancer, and the mapping from old to new positions. The load
 * balancer identifies classes, zones and kinds by position only, while the host identifies them by
 * name. The mapping prevents that data learned for one class, or guarantees given for its requests,
 * are applied to another class that has taken its position.
 *
 * @param settings the new settings
 * @param classes the new position of each old class, by old position, or {@link #REMOVED}
 * @param zones the new position of each old zone, by old position, or {@link #REMOVED}
 * @param kinds the new position of each old kind of machine, by old position, or {@link #REMOVED}
 */
public record SettingsReload(
    LoadBalancer.Settings settings,
    List<Integer> classes,
    List<Integer> zones,
    List<Integer> kinds) {
  /** Position of a class, zone or kind that the new settings do not contain. */
  public static final int REMOVED = -1;

  /**
   * Checks that settings and positions are consistent.
   *
   * @throws IllegalArgumentException if there is no class, or a position is used twice or does not
   *     exist
   */
  public SettingsReload {
    classes = List.copyOf(classes);
    zones = List.copyOf(zones);
    kinds = List.copyOf(kinds);
    if (settings.classes().isEmpty()) {
      throw new IllegalArgumentException("the settings contain no request class");
    }
    check("classes", classes, settings.classes().size());
    check("zones", zones, settings.zones());
    check("kinds", kinds, Integer.MAX_VALUE);
  }

  private static void check(String what, List<Integer> positions, int size) {
    Set<Integer> used = new HashSet<>();
    for (int position : positions) {
      if (position < REMOVED || position >= size || (position != REMOVED && !used.add(position))) {
        throw new IllegalArgumentException(
            what + ": out of range or duplicate position " + position);
      }
    }
  }

  /**
   * Returns the position in a new list for each name of an old list.
   *
   * @param before the old names, without duplicates
   * @param after the new names, without duplicates
   * @return the new positions by old position, {@link #REMOVED} for names that are missing
   */
  public static List<Integer> positions(List<String> before, List<String> after) {
    List<Integer> positions = new ArrayList<>();
    before.forEach(name -> positions.add(after.indexOf(name)));
    return positions;
  }

  /**
   * Returns whether the position of any zone or kind changes; the entries of the server list then
   * change with the position.
   */
  public boolean remapsServers() {
    return isRemapped(zones) || isRemapped(kinds);
  }

  private static boolean isRemapped(List<Integer> positions) {
    for (int i = 0; i < positions.size(); i++) {
      if (positions.get(i) != i) {
        return true;
      }
    }
    return false;
  }

  /** Returns an entry of the server list with the new positions of its zone and kind. */
  public Server remapped(Server line) {
    return new Server(
        line.id(),
        remapped(zones, line.zone()),
        line.cell(),
        remapped(kinds, line.kind()),
        line.phase(),
        line.weight(),
        line.startedAt());
  }

  private static int remapped(List<Integer> positions, int at) {
    return at < 0 || at >= positions.size() ? REMOVED : positions.get(at);
  }

  /**
   * Returns the position of a kind of machine in the new settings.
   *
   * @param kind the old position
   * @return the new position, or {@link #REMOVED}
   */
  public int kind(int kind) {
    return remapped(kinds, kind);
  }

  /**
   * Returns the class for a pending request whose class changes: the class at the request's
   * arrival, with the stricter rules for retries of the old and the new class. Servers adopt the
   * new settings at another moment than this agent, so a retry must have no second effect under
   * either. In three cases, requests are retried only if no attempt may have run: a request of a
   * safe class carries nothing by which servers could detect a repeat; of two different scopes,
   * neither of which is all servers, neither is known to contain the other; and for a removed class
   * the servers that drop repeats are unknown.
   *
   * @param original the class that applies to the request before the change
   * @param next the class in the new settings, or null if the class is removed
   * @return the class that applies to the request from now on
   */
  static RequestClass strictest(RequestClass original, RequestClass next) {
    Semantics semantics = original.semantics();
    Scope scope = original.scope();
    long window = original.window();
    if (next == null) {
      semantics = semantics == Semantics.SAFE ? Semantics.SAFE : Semantics.UNSAFE;
    } else if (semantics == Semantics.SAFE) {
      semantics = next.semantics() == Semantics.SAFE ? Semantics.SAFE : Semantics.UNSAFE;
    } else if (semantics == Semantics.KEYED && next.semantics() == Semantics.UNSAFE) {
      semantics = Semantics.UNSAFE;
    } else if (semantics == Semantics.KEYED && next.semantics() == Semantics.KEYED) {
      window = Math.min(window, next.window());
      if (scope == Scope.ALL) {
        scope = next.scope();
      } else if (next.scope() != scope && next.scope() != Scope.ALL) {
        semantics = Semantics.UNSAFE;
      }
    }
    return new RequestClass(
        original.latencyTarget(),
        original.latencyTargetPerCost(),
        original.timeout(),
        semantics,
        scope,
        window,
        original.value(),
        original.lateValueFraction(),
        original.streaming());
  }
}
