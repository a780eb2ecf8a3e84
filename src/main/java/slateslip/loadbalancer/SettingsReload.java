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
 * Other settings for a balancer that runs, and where what it knows by number is found in them. The
 * module knows classes, zones and kinds by their positions alone; the host knows their names.
 * Guards against what was learnt of one class, or promised for its requests, being applied to
 * another that has taken its position.
 *
 * @param settings what is in force from now on
 * @param classes by the position of a class until now its new one, or {@link #REMOVED}
 * @param zones the same of the zones
 * @param kinds the same of the kinds of machine
 */
public record SettingsReload(
    LoadBalancer.Settings settings,
    List<Integer> classes,
    List<Integer> zones,
    List<Integer> kinds) {
  /** The position of what the new settings have no more. */
  public static final int REMOVED = -1;

  /**
   * Settings that fit together.
   *
   * @throws IllegalArgumentException if there is no class, or a position is used twice or does not
   *     exist
   */
  public SettingsReload {
    classes = List.copyOf(classes);
    zones = List.copyOf(zones);
    kinds = List.copyOf(kinds);
    if (settings.classes().isEmpty()) {
      throw new IllegalArgumentException("there is no class");
    }
    check("classes", classes, settings.classes().size());
    check("zones", zones, settings.zones());
    check("kinds", kinds, Integer.MAX_VALUE);
  }

  private static void check(String what, List<Integer> positions, int size) {
    Set<Integer> used = new HashSet<>();
    for (int position : positions) {
      if (position < REMOVED || position >= size || (position != REMOVED && !used.add(position))) {
        throw new IllegalArgumentException(what + ": position " + position);
      }
    }
  }

  /**
   * Where each name of a list is found in another.
   *
   * @param before names, none of them twice
   * @param after the same
   * @return by position in the first list the position in the second, or {@link #REMOVED}
   */
  public static List<Integer> positions(List<String> before, List<String> after) {
    List<Integer> positions = new ArrayList<>();
    before.forEach(name -> positions.add(after.indexOf(name)));
    return positions;
  }

  /**
   * Whether any zone or kind has another position than before: the lines of the server list change
   * with it.
   */
  public boolean movesServers() {
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

  /** A line of the server list with its zone and kind by their new positions. */
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
   * The position of a kind under the new settings.
   *
   * @param kind its position until now
   * @return its new one, or {@link #REMOVED}
   */
  public int kind(int kind) {
    return remapped(kinds, kind);
  }

  /**
   * The class of a request that is open when its class changes: all as it was taken, but for its
   * repeats the stricter of what held and what holds. Guards against an effect twice: the servers
   * follow the new settings at another moment than this agent, so a repeat has to be harmless under
   * both. A request of a safe class brought nothing by which a repeat could be dropped; of two
   * groups neither of which is all servers, none is known to lie within the other; and who drops
   * the repeats of a class that is no more is not known. All three then go again only where no
   * attempt may have run.
   *
   * @param original the class as its requests go by it until now
   * @param next the class under the new settings, or null if there is none
   * @return the class as the open request goes by it from now on
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
