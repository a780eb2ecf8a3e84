package slateslip.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The losses that the control state must survive: any of these numbers of machines, or of zones, or
 * of regions may be lost at once, with their disks. This class alone decides whether a set of nodes
 * survives them.
 *
 * <p>Two nodes whose zone is not known count as nodes of different zones, so that a fleet whose
 * agents are upgraded one after the other goes on by the number of machines until all agents report
 * their zones. The same holds for regions.
 *
 * @param machines the number of machines that may be lost at once
 * @param zones the number of zones that may be lost at once
 * @param regions the number of regions that may be lost at once
 */
public record FailureTolerance(int machines, int zones, int regions) {
  /** Returns the tolerance of lost machines, without zones or regions. */
  public static FailureTolerance ofMachines(int machines) {
    return new FailureTolerance(machines, 0, 0);
  }

  /** Returns whether zones or regions may be lost, so that locations matter. */
  public boolean namesDomains() {
    return zones > 0 || regions > 0;
  }

  /** Returns whether at least one of these nodes remains after each tolerated loss. */
  public boolean survives(Collection<NodeLocation> nodes) {
    return nodes.size() > machines
        && domainSizes(nodes, NodeLocation::zone).size() > zones
        && domainSizes(nodes, NodeLocation::region).size() > regions;
  }

  /** Returns whether these nodes survive also if any one of them is not counted. */
  public boolean survivesWithoutAnyOne(List<NodeLocation> nodes) {
    return !nodes.isEmpty() && criticalNodes(nodes) == 0;
  }

  /** Returns whether a majority of these nodes remains after each tolerated loss. */
  public boolean majoritySurvives(Collection<NodeLocation> nodes) {
    int majority = nodes.size() / 2 + 1;
    return nodes.size() - machines >= majority
        && nodes.size() - largest(zones, domainSizes(nodes, NodeLocation::zone)) >= majority
        && nodes.size() - largest(regions, domainSizes(nodes, NodeLocation::region)) >= majority;
  }

  /**
   * Returns whether nodes that do not survive come closer to it with one more: there are too few
   * machines, or the node is in another zone or region and there are too few of these.
   */
  boolean comesCloserWith(List<NodeLocation> nodes, NodeLocation added) {
    List<NodeLocation> more = with(nodes, added);
    return nodes.size() <= machines
        || lacks(zones, nodes, more, NodeLocation::zone)
        || lacks(regions, nodes, more, NodeLocation::region);
  }

  private static boolean lacks(
      int tolerated,
      List<NodeLocation> nodes,
      List<NodeLocation> more,
      Function<NodeLocation, String> domain) {
    int before = domainSizes(nodes, domain).size();
    return before <= tolerated && domainSizes(more, domain).size() > before;
  }

  /**
   * Returns whether one more node makes these nodes survive, brings them closer to it, or leaves
   * fewer nodes without which they do not survive.
   */
  boolean improvesWith(List<NodeLocation> nodes, NodeLocation added) {
    return survives(nodes)
        ? criticalNodes(with(nodes, added)) < criticalNodes(nodes)
        : comesCloserWith(nodes, added);
  }

  /**
   * Returns how many of these nodes share the region and the zone of another one, as far as regions
   * and zones may be lost. Nodes are chosen where this number is low.
   */
  long crowding(Collection<NodeLocation> nodes, NodeLocation location) {
    long crowding = 0;
    for (NodeLocation node : nodes) {
      crowding += regions > 0 && node.region().equals(location.region()) ? 1 : 0;
      crowding += zones > 0 && node.zone().equals(location.zone()) ? 1 : 0;
    }
    return crowding;
  }

  private int criticalNodes(List<NodeLocation> nodes) {
    int critical = 0;
    for (int index = 0; index < nodes.size(); index++) {
      List<NodeLocation> others = new ArrayList<>(nodes);
      others.remove(index);
      critical += survives(others) ? 0 : 1;
    }
    return critical;
  }

  private static List<NodeLocation> with(List<NodeLocation> nodes, NodeLocation added) {
    List<NodeLocation> more = new ArrayList<>(nodes);
    more.add(added);
    return more;
  }

  /** Returns the number of nodes of each domain; a node without one is a domain of its own. */
  private static Collection<Integer> domainSizes(
      Collection<NodeLocation> nodes, Function<NodeLocation, String> domain) {
    Map<String, Integer> sizes = new TreeMap<>();
    List<Integer> unknown = new ArrayList<>();
    for (NodeLocation node : nodes) {
      String name = domain.apply(node);
      if (name.isEmpty()) {
        unknown.add(1);
      } else {
        sizes.merge(name, 1, Integer::sum);
      }
    }
    unknown.addAll(sizes.values());
    return unknown;
  }

  private static int largest(int count, Collection<Integer> sizes) {
    return sizes.stream()
        .sorted((one, other) -> other - one)
        .limit(count)
        .mapToInt(Integer::intValue)
        .sum();
  }
}
