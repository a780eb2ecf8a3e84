package slateslip.coordination;

import java.util.List;
import java.util.Optional;

/**
 * The configuration of the replication group in one epoch: the nodes that store the state and the
 * nodes that decide the next view.
 *
 * @param epoch a number from 1 upwards; 0 only in {@link #NONE}
 * @param primary the member that orders and replicates the records
 * @param members the nodes that must have a record on disk before the record is committed; each
 *     member is also a witness
 * @param witnesses the nodes of which a majority decides the view of the next epoch
 */
public record View(long epoch, NodeId primary, List<ViewMember> members, List<NodeId> witnesses) {
  /** Stands for the absence of a view at a node that knows no decided view. */
  public static final View NONE = new View(0, NodeId.NONE, List.of(), List.of());

  /** Copies the lists, so that the view is immutable. */
  public View {
    members = List.copyOf(members);
    witnesses = List.copyOf(witnesses);
  }

  /**
   * Returns the initial view, which depends only on the addresses of the seeds, so that all seeds
   * derive the same view. The first address in order is the primary.
   */
  public static View initial(List<NodeAddress> seeds) {
    List<NodeId> nodes =
        seeds.stream()
            .distinct()
            .sorted()
            .map(seed -> new NodeId(seed, NodeId.INITIAL_DISK_ID))
            .toList();
    List<ViewMember> members = nodes.stream().map(node -> new ViewMember(node, 1)).toList();
    return new View(1, nodes.get(0), members, nodes);
  }

  /** Returns whether this view is {@link #NONE}. */
  public boolean isNone() {
    return epoch == 0;
  }

  /** Returns the member entry of a node, or empty if the node is not a member. */
  public Optional<ViewMember> member(NodeId node) {
    return members.stream().filter(member -> member.node().equals(node)).findFirst();
  }

  /** Returns whether the node is a member of this view. */
  public boolean hasMember(NodeId node) {
    return member(node).isPresent();
  }

  /** Returns whether the node is a witness of this view. */
  public boolean hasWitness(NodeId node) {
    return witnesses.contains(node);
  }

  /** Returns the minimum number of witnesses that form a majority. */
  public int majority() {
    return witnesses.size() / 2 + 1;
  }

  /**
   * Returns whether a node may be the primary of the next view: the node is a member and holds
   * every committed record.
   *
   * @param installedEpoch the newest epoch whose state the node has installed on disk
   */
  public boolean mayLeadNext(NodeId node, long installedEpoch) {
    return member(node).filter(member -> installedEpoch >= member.sinceEpoch()).isPresent();
  }
}
