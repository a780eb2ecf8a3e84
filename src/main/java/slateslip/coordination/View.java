package slateslip.coordination;

import java.util.List;
import java.util.Optional;

/**
 * Who keeps the state and who decides on the next view.
 *
 * @param epoch 1 or more; 0 only in {@link #NONE}
 * @param primary a member
 * @param members who must sync a record before it is committed; each is a witness too
 * @param witnesses whose majority decides the view of the next epoch
 */
public record View(long epoch, NodeId primary, List<ViewMember> members, List<NodeId> witnesses) {
  /** Known by a node that has heard of no view. */
  public static final View NONE = new View(0, NodeId.NONE, List.of(), List.of());

  /** Copies the lists. */
  public View {
    members = List.copyOf(members);
    witnesses = List.copyOf(witnesses);
  }

  /** The first view, a function of the seeds alone. */
  public static View founding(List<NodeAddress> seeds) {
    List<NodeId> nodes =
        seeds.stream()
            .distinct()
            .sorted()
            .map(seed -> new NodeId(seed, NodeId.FOUNDER_DISK))
            .toList();
    List<ViewMember> members = nodes.stream().map(node -> new ViewMember(node, 1)).toList();
    return new View(1, nodes.get(0), members, nodes);
  }

  /** Whether this is {@link #NONE}. */
  public boolean isNone() {
    return epoch == 0;
  }

  /** The member entry of a node. */
  public Optional<ViewMember> member(NodeId node) {
    return members.stream().filter(member -> member.node().equals(node)).findFirst();
  }

  /** Whether the node is a member. */
  public boolean hasMember(NodeId node) {
    return member(node).isPresent();
  }

  /** Whether the node is a witness. */
  public boolean hasWitness(NodeId node) {
    return witnesses.contains(node);
  }

  /** Witnesses that make a majority. */
  public int majority() {
    return witnesses.size() / 2 + 1;
  }

  /**
   * Whether a node may lead the next view: it holds all that was committed.
   *
   * @param installedEpoch newest epoch whose state the node has installed durably
   */
  public boolean mayLeadNext(NodeId node, long installedEpoch) {
    return member(node).filter(member -> installedEpoch >= member.sinceEpoch()).isPresent();
  }
}
