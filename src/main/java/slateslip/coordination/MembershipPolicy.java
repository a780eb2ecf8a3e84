package slateslip.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the members and witnesses of the next view. All methods are pure functions of the view
 * and of the nodes as the proposer has observed them.
 */
final class MembershipPolicy {
  private final View view;
  private final ObservedNodes nodes;
  private final FailureTolerance tolerance;
  private final WitnessPolicy witnessPolicy;

  private MembershipPolicy(View view, ObservedNodes nodes, FailureTolerance tolerance) {
    this.view = view;
    this.nodes = nodes;
    this.tolerance = tolerance;
    witnessPolicy = new WitnessPolicy(view, nodes, tolerance);
  }

  /**
   * Returns the view that the primary should propose, or empty if the current view is adequate or
   * the new witnesses would have no healthy majority.
   */
  static Optional<View> nextViewOfPrimary(
      View view, ObservedNodes nodes, FailureTolerance tolerance) {
    return new MembershipPolicy(view, nodes, tolerance).nextView();
  }

  private Optional<View> nextView() {
    List<ViewMember> members = members();
    List<NodeId> witnesses = witnessPolicy.witnesses(nodesOf(members));
    Optional<ViewMember> surplus = surplusMember(members, witnesses);
    if (surplus.isPresent()) {
      members.remove(surplus.get());
      witnesses = new ArrayList<>(witnesses);
      witnesses.remove(surplus.get().node());
    }
    boolean same =
        view.primary().equals(nodes.self())
            && members.equals(view.members())
            && witnesses.equals(view.witnesses());
    if (same || !witnessPolicy.isMajorityHealthy(witnesses)) {
      return Optional.empty();
    }
    return Optional.of(new View(view.epoch() + 1, nodes.self(), members, witnesses));
  }

  private static List<NodeId> nodesOf(List<ViewMember> members) {
    return members.stream().map(ViewMember::node).toList();
  }

  private List<ViewMember> members() {
    List<ViewMember> retained = new ArrayList<>();
    List<ViewMember> unhealthy = new ArrayList<>();
    for (ViewMember member : view.members()) {
      (nodes.isHealthy(member.node()) ? retained : unhealthy).add(member);
    }
    List<NodeLocation> copies =
        nodes.locations(nodesOf(retained).stream().filter(nodes::isInstalled).toList());
    addCandidates(retained);
    retainLastCopies(copies, unhealthy, retained);
    return inViewOrder(view, retained);
  }

  /**
   * Adds nodes until the members survive each tolerated loss also after one of them was dropped, so
   * that a member can be dropped without waiting for a replacement.
   */
  private void addCandidates(List<ViewMember> retained) {
    List<PeerHealth> candidates =
        new ArrayList<>(
            nodes.others().stream()
                .filter(other -> !view.hasMember(other.node()))
                .filter(other -> other.eligible() && other.caughtUp())
                .sorted(Comparator.comparing(other -> view.hasWitness(other.node()) ? 0 : 1))
                .toList());
    List<NodeLocation> locations = new ArrayList<>(nodes.locations(nodesOf(retained)));
    Optional<PeerHealth> best = bestCandidate(candidates, locations);
    while (best.isPresent()) {
      candidates.remove(best.get());
      locations.add(best.get().location());
      retained.add(new ViewMember(best.get().node(), view.epoch() + 1));
      best = bestCandidate(candidates, locations);
    }
  }

  private Optional<PeerHealth> bestCandidate(
      List<PeerHealth> candidates, List<NodeLocation> locations) {
    return candidates.stream()
        .filter(candidate -> tolerance.improvesWith(locations, candidate.location()))
        .min(
            Comparator.comparingLong(
                candidate -> tolerance.crowding(locations, candidate.location())));
  }

  /**
   * Retains unhealthy members that may hold the last copies of the state until enough other members
   * have installed the state.
   *
   * @param installed the locations of the healthy members that have installed the state
   */
  private void retainLastCopies(
      List<NodeLocation> installed, List<ViewMember> unhealthy, List<ViewMember> retained) {
    List<ViewMember> installedFirst =
        unhealthy.stream()
            .sorted(Comparator.comparing(member -> nodes.isInstalled(member.node()) ? 0 : 1))
            .toList();
    List<NodeId> kept = lastCopies(tolerance, installed, nodesOf(installedFirst), nodes::location);
    installedFirst.stream().filter(member -> kept.contains(member.node())).forEach(retained::add);
  }

  /** Returns where a node is. */
  private interface Locations {
    NodeLocation of(NodeId node);
  }

  /**
   * Returns the nodes that must be kept beside complete copies until these survive each tolerated
   * loss. Where zones or regions may be lost, a node of unknown location is kept and not counted:
   * it may hold the only copy of its zone.
   *
   * @param copies the locations of the complete copies
   * @param others the nodes that may hold a copy, in the order in which they are considered
   */
  private static List<NodeId> lastCopies(
      FailureTolerance tolerance,
      List<NodeLocation> copies,
      List<NodeId> others,
      Locations locations) {
    List<NodeLocation> counted = new ArrayList<>(copies);
    List<NodeId> kept = new ArrayList<>();
    for (NodeId node : others) {
      NodeLocation location = locations.of(node);
      if (tolerance.survives(counted)) {
        break;
      }
      if (tolerance.namesDomains() && location.isUnknown()) {
        kept.add(node);
      } else if (tolerance.comesCloserWith(counted, location)) {
        kept.add(node);
        counted.add(location);
      }
    }
    return kept;
  }

  /**
   * Returns a member without which a majority of the witnesses remains after each tolerated loss of
   * zones or regions, if the other members hold enough copies; empty if the witnesses need no
   * change or there is no such member. A node that joins with this view is not counted: it may not
   * lead before it has installed the next term.
   */
  private Optional<ViewMember> surplusMember(List<ViewMember> members, List<NodeId> witnesses) {
    if (!tolerance.namesDomains() || witnessPolicy.majoritySurvives(witnesses)) {
      return Optional.empty();
    }
    List<NodeId> copies =
        nodesOf(members).stream().filter(view::hasMember).filter(nodes::isInstalled).toList();
    return members.stream()
        .filter(member -> !nodes.isSelf(member.node()))
        .filter(member -> isSurplus(member.node(), copies, witnesses))
        .findFirst();
  }

  private boolean isSurplus(NodeId member, List<NodeId> copies, List<NodeId> witnesses) {
    List<NodeId> otherCopies = new ArrayList<>(copies);
    otherCopies.remove(member);
    List<NodeId> otherWitnesses = new ArrayList<>(witnesses);
    otherWitnesses.remove(member);
    return tolerance.survivesWithoutAnyOne(nodes.locations(otherCopies))
        && witnessPolicy.majoritySurvives(otherWitnesses);
  }

  private static List<ViewMember> inViewOrder(View view, List<ViewMember> members) {
    List<ViewMember> ordered = new ArrayList<>();
    view.members().stream().filter(members::contains).forEach(ordered::add);
    members.stream().filter(member -> !ordered.contains(member)).forEach(ordered::add);
    return ordered;
  }

  /**
   * Returns the view that a member proposes when the member takes over from a failed primary.
   *
   * @param self the member that takes over; it must be allowed to lead the next view
   * @param responding the locations of the members that responded and whose disk works, including
   *     {@code self}
   * @param installed those of the responding members that hold every committed record
   */
  static View viewAfterFailover(
      View view,
      NodeId self,
      FailureTolerance tolerance,
      Map<NodeId, NodeLocation> responding,
      List<NodeId> installed) {
    List<ViewMember> retained = new ArrayList<>();
    List<ViewMember> others = new ArrayList<>();
    for (ViewMember member : view.members()) {
      (responding.containsKey(member.node()) ? retained : others).add(member);
    }
    List<NodeLocation> copies =
        nodesOf(retained).stream().filter(installed::contains).map(responding::get).toList();
    List<ViewMember> primaryLast =
        others.stream()
            .sorted(Comparator.comparing(member -> member.node().equals(view.primary()) ? 1 : 0))
            .toList();
    List<NodeId> kept =
        lastCopies(tolerance, copies, nodesOf(primaryLast), node -> NodeLocation.UNKNOWN);
    primaryLast.stream().filter(member -> kept.contains(member.node())).forEach(retained::add);
    return new View(view.epoch() + 1, self, inViewOrder(view, retained), view.witnesses());
  }
}
