package slateslip.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Which view should follow. Pure functions of what the proposer knows. */
final class MembershipPolicy {
  private static final int LEAST_WITNESSES = 3;

  /**
   * A node as the proposer knows it.
   *
   * @param node who
   * @param well answers, and its disk works
   * @param installed has the current view's state on disk, or what makes up for it
   * @param caughtUp has every record, committed or not, on disk
   * @param silentMicros since its last answer
   * @param wellMicros how long it has been well without a break
   * @param patienceMicros how long it must be well to be taken in
   */
  record PeerHealth(
      NodeId node,
      boolean well,
      boolean installed,
      boolean caughtUp,
      long silentMicros,
      long wellMicros,
      long patienceMicros) {
    boolean eligible() {
      return well && wellMicros >= patienceMicros;
    }
  }

  private MembershipPolicy() {}

  /** Members that are wanted: one may be dropped without waiting for another. */
  private static int membersWanted(int faultTolerance) {
    return faultTolerance + 2;
  }

  /**
   * The view that a primary wants after the current one; empty if the current one will do.
   *
   * @param self the primary, well and installed
   * @param others every other node that it knows
   */
  static Optional<View> wantedByPrimary(
      View view, NodeId self, int faultTolerance, List<PeerHealth> others) {
    List<ViewMember> members = members(view, self, faultTolerance, others);
    List<NodeId> witnesses = witnesses(view, self, faultTolerance, others, members);
    boolean same =
        view.primary().equals(self)
            && members.equals(view.members())
            && witnesses.equals(view.witnesses());
    if (same || !majorityWell(witnesses, self, others)) {
      return Optional.empty();
    }
    return Optional.of(new View(view.epoch() + 1, self, members, witnesses));
  }

  private static boolean majorityWell(
      List<NodeId> witnesses, NodeId self, List<PeerHealth> others) {
    long well =
        witnesses.stream()
            .filter(
                node ->
                    node.equals(self)
                        || standing(others, node).filter(PeerHealth::well).isPresent())
            .count();
    return well > witnesses.size() / 2;
  }

  private static Optional<PeerHealth> standing(List<PeerHealth> others, NodeId node) {
    return others.stream().filter(standing -> standing.node().equals(node)).findFirst();
  }

  private static List<ViewMember> members(
      View view, NodeId self, int faultTolerance, List<PeerHealth> others) {
    List<ViewMember> kept = new ArrayList<>();
    List<ViewMember> unwell = new ArrayList<>();
    int installed = 0;
    for (ViewMember member : view.members()) {
      Optional<PeerHealth> standing = standing(others, member.node());
      boolean own = member.node().equals(self);
      if (own || standing.filter(PeerHealth::well).isPresent()) {
        kept.add(member);
        installed += own || standing.get().installed() ? 1 : 0;
      } else {
        unwell.add(member);
      }
    }
    addCandidates(view, faultTolerance, others, kept);
    keepIfNeeded(faultTolerance + 1 - installed, others, unwell, kept);
    return inOrder(view, kept);
  }

  /** What may be the last copies must stay in the view until others have installed it. */
  private static void keepIfNeeded(
      int missing, List<PeerHealth> others, List<ViewMember> unwell, List<ViewMember> kept) {
    Comparator<ViewMember> installedFirst =
        Comparator.comparing(
            member ->
                standing(others, member.node()).filter(PeerHealth::installed).isPresent() ? 0 : 1);
    unwell.stream().sorted(installedFirst).limit(Math.max(0, missing)).forEach(kept::add);
  }

  private static void addCandidates(
      View view, int faultTolerance, List<PeerHealth> others, List<ViewMember> kept) {
    others.stream()
        .filter(other -> !view.hasMember(other.node()))
        .filter(other -> other.eligible() && other.caughtUp())
        .sorted(Comparator.comparing(other -> view.hasWitness(other.node()) ? 0 : 1))
        .limit(Math.max(0, membersWanted(faultTolerance) - kept.size()))
        .forEach(other -> kept.add(new ViewMember(other.node(), view.epoch() + 1)));
  }

  private static List<ViewMember> inOrder(View view, List<ViewMember> members) {
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
    List<NodeId> needed = members.stream().map(ViewMember::node).toList();
    List<NodeId> witnesses = new ArrayList<>(view.witnesses());
    needed.stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    List<NodeId> newcomers = newcomers(view, others);
    newcomers.stream().filter(node -> !witnesses.contains(node)).forEach(witnesses::add);
    List<NodeId> superseded =
        witnesses.stream().filter(node -> superseded(node, witnesses, others)).toList();
    witnesses.removeAll(superseded);
    long excess = witnesses.stream().filter(node -> !view.hasWitness(node)).count();
    List<NodeId> silent =
        witnesses.stream()
            .filter(node -> !node.equals(self) && !needed.contains(node))
            .filter(node -> silence(others, node) > ReplicationTimeouts.WITNESS_REPLACED)
            .sorted(Comparator.comparing((NodeId node) -> -silence(others, node)))
            .toList();
    silent.stream().limit(excess).forEach(witnesses::remove);
    if (excess == 0) {
      removeLoneSilent(needed, self, faultTolerance, others, witnesses);
    }
    return witnesses;
  }

  /** Nodes that become witnesses: once one has waited long enough, others go along. */
  private static List<NodeId> newcomers(View view, List<PeerHealth> others) {
    List<PeerHealth> outside =
        others.stream().filter(other -> other.well() && !view.hasWitness(other.node())).toList();
    if (outside.stream().noneMatch(PeerHealth::eligible)) {
      return List.of();
    }
    return outside.stream()
        .filter(other -> other.eligible() || joinsAlong(other))
        .map(PeerHealth::node)
        .toList();
  }

  private static boolean joinsAlong(PeerHealth other) {
    return other.wellMicros() >= ReplicationTimeouts.JOIN_ALONG
        && other.patienceMicros() <= ReplicationTimeouts.JOIN_AFTER;
  }

  /**
   * Whether its machine has come back as another node, its disk lost: the node is gone for good,
   * and would only make majorities harder.
   */
  private static boolean superseded(NodeId node, List<NodeId> witnesses, List<PeerHealth> others) {
    return wellFor(others, node) == 0
        && witnesses.stream()
            .filter(other -> !other.equals(node) && other.address().equals(node.address()))
            .anyMatch(other -> wellFor(others, other) > 0);
  }

  private static long wellFor(List<PeerHealth> others, NodeId node) {
    return standing(others, node).map(PeerHealth::wellMicros).orElse(0L);
  }

  private static long silence(List<PeerHealth> others, NodeId node) {
    return standing(others, node).map(PeerHealth::silentMicros).orElse(0L);
  }

  private static void removeLoneSilent(
      List<NodeId> needed,
      NodeId self,
      int faultTolerance,
      List<PeerHealth> others,
      List<NodeId> witnesses) {
    List<NodeId> silent =
        witnesses.stream()
            .filter(node -> !node.equals(self))
            .filter(node -> standing(others, node).filter(PeerHealth::well).isEmpty())
            .toList();
    boolean enoughLeft = witnesses.size() - 1 >= Math.max(LEAST_WITNESSES, 2 * faultTolerance + 1);
    if (silent.size() != 1 || !enoughLeft || needed.contains(silent.get(0))) {
      return;
    }
    if (silence(others, silent.get(0)) > ReplicationTimeouts.WITNESS_REMOVED) {
      witnesses.remove(silent.get(0));
    }
  }

  /**
   * The view of a member that takes over.
   *
   * @param self the member; it may lead
   * @param answering members whose disk works, the taker among them
   * @param installed those of them that hold every committed record
   */
  static View takenOver(
      View view, NodeId self, int faultTolerance, List<NodeId> answering, List<NodeId> installed) {
    List<ViewMember> kept = new ArrayList<>();
    List<ViewMember> others = new ArrayList<>();
    for (ViewMember member : view.members()) {
      (answering.contains(member.node()) ? kept : others).add(member);
    }
    long holders = kept.stream().filter(member -> installed.contains(member.node())).count();
    others.stream()
        .sorted(Comparator.comparing(member -> member.node().equals(view.primary()) ? 1 : 0))
        .limit(Math.max(0, faultTolerance + 1 - holders))
        .forEach(kept::add);
    return new View(view.epoch() + 1, self, inOrder(view, kept), view.witnesses());
  }
}
