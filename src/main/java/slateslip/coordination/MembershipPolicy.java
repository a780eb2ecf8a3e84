package slateslip.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the members and witnesses of the next view. All methods are pure functions of the view
 * and of the health of the nodes as the proposer has observed it.
 */
final class MembershipPolicy {
  private static final int MIN_WITNESSES = 3;

  /**
   * The health of a node as the proposer has observed it.
   *
   * @param node the identity of the node
   * @param healthy whether the node responds and its disk works
   * @param installed whether the node has the state of the current term on disk, including the last
   *     record that existed when the term began
   * @param caughtUp whether the node has every record on disk, whether the record is committed or
   *     pending
   * @param unresponsiveMicros the time in microseconds since the primary sent the last heartbeat
   *     that the node acknowledged
   * @param healthyMicros the time in microseconds for which the node has been healthy without
   *     interruption
   * @param joinDelayMicros the time in microseconds for which the node must be healthy before it
   *     may join the view
   */
  record PeerHealth(
      NodeId node,
      boolean healthy,
      boolean installed,
      boolean caughtUp,
      long unresponsiveMicros,
      long healthyMicros,
      long joinDelayMicros) {
    boolean eligible() {
      return healthy && healthyMicros >= joinDelayMicros;
    }
  }

  private MembershipPolicy() {}

  /**
   * Returns the desired number of members: one more than the minimum, so that one member can be
   * dropped without waiting for a replacement.
   */
  private static int targetMemberCount(int faultTolerance) {
    return faultTolerance + 2;
  }

  /**
   * Returns the view that the primary should propose, or empty if the current view is adequate or
   * the new witnesses would have no healthy majority.
   *
   * @param self the primary, which is healthy and has its term's state on disk
   * @param others the health of every other node that the primary knows
   */
  static Optional<View> nextViewOfPrimary(
      View view, NodeId self, int faultTolerance, List<PeerHealth> others) {
    List<ViewMember> members = members(view, self, faultTolerance, others);
    List<NodeId> witnesses = witnesses(view, self, faultTolerance, others, members);
    boolean same =
        view.primary().equals(self)
            && members.equals(view.members())
            && witnesses.equals(view.witnesses());
    if (same || !isMajorityHealthy(witnesses, self, others)) {
      return Optional.empty();
    }
    return Optional.of(new View(view.epoch() + 1, self, members, witnesses));
  }

  private static boolean isMajorityHealthy(
      List<NodeId> witnesses, NodeId self, List<PeerHealth> others) {
    long healthy =
        witnesses.stream()
            .filter(
                node ->
                    node.equals(self)
                        || healthOf(others, node).filter(PeerHealth::healthy).isPresent())
            .count();
    return healthy > witnesses.size() / 2;
  }

  private static Optional<PeerHealth> healthOf(List<PeerHealth> others, NodeId node) {
    return others.stream().filter(health -> health.node().equals(node)).findFirst();
  }

  private static List<ViewMember> members(
      View view, NodeId self, int faultTolerance, List<PeerHealth> others) {
    List<ViewMember> retained = new ArrayList<>();
    List<ViewMember> unhealthy = new ArrayList<>();
    int installed = 0;
    for (ViewMember member : view.members()) {
      Optional<PeerHealth> health = healthOf(others, member.node());
      boolean isSelf = member.node().equals(self);
      if (isSelf || health.filter(PeerHealth::healthy).isPresent()) {
        retained.add(member);
        installed += isSelf || health.get().installed() ? 1 : 0;
      } else {
        unhealthy.add(member);
      }
    }
    addCandidates(view, faultTolerance, others, retained);
    retainLastCopies(faultTolerance + 1 - installed, others, unhealthy, retained);
    return inViewOrder(view, retained);
  }

  /**
   * Retains unhealthy members that may hold the last copies of the state until enough other members
   * have installed the state.
   */
  private static void retainLastCopies(
      int missingCopies,
      List<PeerHealth> others,
      List<ViewMember> unhealthy,
      List<ViewMember> retained) {
    Comparator<ViewMember> installedFirst =
        Comparator.comparing(
            member ->
                healthOf(others, member.node()).filter(PeerHealth::installed).isPresent() ? 0 : 1);
    unhealthy.stream()
        .sorted(installedFirst)
        .limit(Math.max(0, missingCopies))
        .forEach(retained::add);
  }

  private static void addCandidates(
      View view, int faultTolerance, List<PeerHealth> others, List<ViewMember> retained) {
    others.stream()
        .filter(other -> !view.hasMember(other.node()))
        .filter(other -> other.eligible() && other.caughtUp())
        .sorted(Comparator.comparing(other -> view.hasWitness(other.node()) ? 0 : 1))
        .limit(Math.max(0, targetMemberCount(faultTolerance) - retained.size()))
        .forEach(other -> retained.add(new ViewMember(other.node(), view.epoch() + 1)));
  }

  private static List<ViewMember> inViewOrder(View view, List<ViewMember> members) {
    List<ViewMember> ordered = new ArrayList<>();
    view.members().stream().filter(members::contains).forEach(ordered::add);
    members.stream().filter(member -> !ordered.contains(member)).forEach(ordered::add);
    return ordered;
  }

  private static List<NodeId> witnesses(
      View view,
      NodeId self,
      int faultTolerance,
      List<PeerHealth> others,
      List<ViewMember> members) {
    List<NodeId> memberNodes = members.stream().map(ViewMember::node).toList();
    List<NodeId> witnesses = new ArrayList<>(view.witnesses());
    memberNodes.stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    List<NodeId> joiningNodes = joiningNodes(view, others);
    joiningNodes.stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    List<NodeId> superseded =
        witnesses.stream().filter(node -> superseded(node, self, witnesses, others)).toList();
    witnesses.removeAll(superseded);
    long excess = witnesses.stream().filter(node -> !view.hasWitness(node)).count();
    List<NodeId> unresponsive =
        witnesses.stream()
            .filter(node -> !node.equals(self) && !memberNodes.contains(node))
            .filter(
                node ->
                    unresponsiveMicros(others, node)
                        > ReplicationTimeouts.WITNESS_REPLACEMENT_DELAY_MICROS)
            .sorted(Comparator.comparing((NodeId node) -> -unresponsiveMicros(others, node)))
            .toList();
    unresponsive.stream().limit(excess).forEach(witnesses::remove);
    if (excess == 0) {
      removeSingleUnresponsive(memberNodes, self, faultTolerance, others, witnesses);
    }
    return witnesses;
  }

  /**
   * Returns the nodes that become witnesses. As soon as one node has been healthy for its join
   * delay, nodes that have been healthy for the shorter delay of a joint join become witnesses in
   * the same view.
   */
  private static List<NodeId> joiningNodes(View view, List<PeerHealth> others) {
    List<PeerHealth> outside =
        others.stream().filter(other -> other.healthy() && !view.hasWitness(other.node())).toList();
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
  private static boolean superseded(
      NodeId node, NodeId self, List<NodeId> witnesses, List<PeerHealth> others) {
    return !node.equals(self)
        && healthyMicros(others, node) == 0
        && witnesses.stream()
            .filter(other -> !other.equals(node) && other.address().equals(node.address()))
            .anyMatch(other -> other.equals(self) || healthyMicros(others, other) > 0);
  }

  private static long healthyMicros(List<PeerHealth> others, NodeId node) {
    return healthOf(others, node).map(PeerHealth::healthyMicros).orElse(0L);
  }

  private static long unresponsiveMicros(List<PeerHealth> others, NodeId node) {
    return healthOf(others, node).map(PeerHealth::unresponsiveMicros).orElse(0L);
  }

  private static void removeSingleUnresponsive(
      List<NodeId> memberNodes,
      NodeId self,
      int faultTolerance,
      List<PeerHealth> others,
      List<NodeId> witnesses) {
    List<NodeId> unresponsive =
        witnesses.stream()
            .filter(node -> !node.equals(self))
            .filter(node -> healthOf(others, node).filter(PeerHealth::healthy).isEmpty())
            .toList();
    boolean enoughRemain = witnesses.size() - 1 >= Math.max(MIN_WITNESSES, 2 * faultTolerance + 1);
    if (unresponsive.size() != 1 || !enoughRemain || memberNodes.contains(unresponsive.get(0))) {
      return;
    }
    if (unresponsiveMicros(others, unresponsive.get(0))
        > ReplicationTimeouts.WITNESS_REMOVAL_DELAY_MICROS) {
      witnesses.remove(unresponsive.get(0));
    }
  }

  /**
   * Returns the view that a member proposes when the member takes over from a failed primary.
   *
   * @param self the member that takes over; it must be allowed to lead the next view
   * @param responding the members that responded and whose disk works, including {@code self}
   * @param installed those of the responding members that hold every committed record
   */
  static View viewAfterFailover(
      View view, NodeId self, int faultTolerance, List<NodeId> responding, List<NodeId> installed) {
    List<ViewMember> retained = new ArrayList<>();
    List<ViewMember> others = new ArrayList<>();
    for (ViewMember member : view.members()) {
      (responding.contains(member.node()) ? retained : others).add(member);
    }
    long completeCopies =
        retained.stream().filter(member -> installed.contains(member.node())).count();
    others.stream()
        .sorted(Comparator.comparing(member -> member.node().equals(view.primary()) ? 1 : 0))
        .limit(Math.max(0, faultTolerance + 1 - completeCopies))
        .forEach(retained::add);
    return new View(view.epoch() + 1, self, inViewOrder(view, retained), view.witnesses());
  }
}
