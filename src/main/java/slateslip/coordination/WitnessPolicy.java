package slateslip.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the witnesses of the next view. All methods are pure functions of the view and of the
 * nodes as the primary has observed them.
 */
final class WitnessPolicy {
  private static final int MIN_WITNESSES = 3;

  private final View view;
  private final ObservedNodes nodes;
  private final FailureTolerance tolerance;

  WitnessPolicy(View view, ObservedNodes nodes, FailureTolerance tolerance) {
    this.view = view;
    this.nodes = nodes;
    this.tolerance = tolerance;
  }

  /** Returns the witnesses of the next view, which has these members. */
  List<NodeId> witnesses(List<NodeId> memberNodes) {
    List<NodeId> witnesses = new ArrayList<>(view.witnesses());
    memberNodes.stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    joiningNodes().stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    witnesses.removeAll(witnesses.stream().filter(node -> superseded(node, witnesses)).toList());
    long excess = witnesses.stream().filter(node -> !view.hasWitness(node)).count();
    replaceUnresponsive(excess, memberNodes, witnesses);
    if (excess == 0) {
      removeSingleUnresponsive(memberNodes, witnesses);
    }
    return balanced(memberNodes, witnesses);
  }

  /** Returns whether a majority of these witnesses is healthy. */
  boolean isMajorityHealthy(List<NodeId> witnesses) {
    return witnesses.stream().filter(nodes::isHealthy).count() > witnesses.size() / 2;
  }

  /** Returns whether a majority of these witnesses remains after each tolerated loss. */
  boolean majoritySurvives(List<NodeId> witnesses) {
    return tolerance.majoritySurvives(nodes.locations(witnesses));
  }

  private void replaceUnresponsive(long excess, List<NodeId> memberNodes, List<NodeId> witnesses) {
    witnesses.stream()
        .filter(node -> !nodes.isSelf(node) && !memberNodes.contains(node))
        .filter(
            node ->
                nodes.unresponsiveMicros(node)
                    > ReplicationTimeouts.WITNESS_REPLACEMENT_DELAY_MICROS)
        .sorted(Comparator.comparing((NodeId node) -> -nodes.unresponsiveMicros(node)))
        .limit(excess)
        .toList()
        .forEach(node -> removeUnlessDomainsAreLost(node, witnesses));
  }

  /**
   * Removes a witness, except if zones or regions may be lost and only with this witness a majority
   * remains after each of these losses.
   */
  private void removeUnlessDomainsAreLost(NodeId node, List<NodeId> witnesses) {
    List<NodeId> others = new ArrayList<>(witnesses);
    others.remove(node);
    boolean needed =
        tolerance.namesDomains() && majoritySurvives(witnesses) && !majoritySurvives(others);
    if (!needed) {
      witnesses.remove(node);
    }
  }

  /**
   * Returns the nodes that become witnesses. As soon as one node has been healthy for its join
   * delay, nodes that have been healthy for the shorter delay of a joint join become witnesses in
   * the same view.
   */
  private List<NodeId> joiningNodes() {
    List<PeerHealth> outside =
        nodes.others().stream()
            .filter(other -> other.healthy() && !view.hasWitness(other.node()))
            .toList();
    if (outside.stream().noneMatch(PeerHealth::eligible)) {
      return List.of();
    }
    return outside.stream()
        .filter(other -> other.eligible() || joinsTogether(other))
        .map(PeerHealth::node)
        .toList();
  }

  private static boolean joinsTogether(PeerHealth other) {
    return other.healthyMicros() >= ReplicationTimeouts.JOIN_TOGETHER_DELAY_MICROS
        && other.joinDelayMicros() <= ReplicationTimeouts.JOIN_DELAY_MICROS;
  }

  /**
   * Returns whether the machine of the node has lost its disk and runs again under another
   * identity. The former identity never returns, and as a witness would only make a majority harder
   * to reach. The new identity may be that of the primary itself.
   */
  private boolean superseded(NodeId node, List<NodeId> witnesses) {
    return !nodes.isSelf(node)
        && nodes.healthyMicros(node) == 0
        && witnesses.stream()
            .filter(other -> !other.equals(node) && other.address().equals(node.address()))
            .anyMatch(other -> nodes.isSelf(other) || nodes.healthyMicros(other) > 0);
  }

  private void removeSingleUnresponsive(List<NodeId> memberNodes, List<NodeId> witnesses) {
    List<NodeId> unresponsive = witnesses.stream().filter(node -> !nodes.isHealthy(node)).toList();
    boolean enoughRemain =
        witnesses.size() - 1 >= Math.max(MIN_WITNESSES, 2 * tolerance.machines() + 1);
    if (unresponsive.size() != 1 || !enoughRemain || memberNodes.contains(unresponsive.get(0))) {
      return;
    }
    if (nodes.unresponsiveMicros(unresponsive.get(0))
        > ReplicationTimeouts.WITNESS_REMOVAL_DELAY_MICROS) {
      removeUnlessDomainsAreLost(unresponsive.get(0), witnesses);
    }
  }

  /**
   * Returns the witnesses without some of those in crowded zones and regions, if a majority remains
   * after each tolerated loss only then; else all of them.
   */
  private List<NodeId> balanced(List<NodeId> memberNodes, List<NodeId> witnesses) {
    List<NodeId> fewer = new ArrayList<>(witnesses);
    while (tolerance.namesDomains() && !majoritySurvives(fewer)) {
      Optional<NodeId> surplus = mostCrowded(memberNodes, fewer);
      if (surplus.isEmpty() || fewer.size() <= MIN_WITNESSES) {
        return witnesses;
      }
      fewer.remove(surplus.get());
    }
    return fewer;
  }

  private Optional<NodeId> mostCrowded(List<NodeId> memberNodes, List<NodeId> witnesses) {
    List<NodeLocation> locations = nodes.locations(witnesses);
    return witnesses.stream()
        .filter(node -> !nodes.isSelf(node) && !memberNodes.contains(node))
        .max(
            Comparator.comparingLong(
                    (NodeId node) -> tolerance.crowding(locations, nodes.location(node)))
                .thenComparing(node -> !view.hasWitness(node)));
  }
}
