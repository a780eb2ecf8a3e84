package slateslip.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import slateslip.coordination.MembershipPolicy.PeerHealth;

final class MembershipPolicyTest {
  private static final long HEALTHY_MICROS = 60_000_000;
  private static final long UNRESPONSIVE_MICROS = 5_000_000;
  private static final NodeId A = node("10.0.0.1", 0);
  private static final NodeId B = node("10.0.0.2", 0);
  private static final NodeId C = node("10.0.0.3", 0);
  private static final NodeId D = node("10.0.0.4", 9);
  private static final NodeId C_AFTER_DISK_LOSS = node("10.0.0.3", 7);

  private static NodeId node(String address, long disk) {
    return new NodeId(NodeAddress.parse(address), disk);
  }

  private static View view(List<NodeId> members, List<NodeId> witnesses) {
    List<ViewMember> entries = members.stream().map(node -> new ViewMember(node, 1)).toList();
    return new View(4, A, entries, witnesses);
  }

  private static PeerHealth healthy(NodeId node) {
    return new PeerHealth(
        node, true, true, true, 0, HEALTHY_MICROS, ReplicationTimeouts.JOIN_DELAY_MICROS);
  }

  private static PeerHealth unresponsive(NodeId node) {
    return new PeerHealth(
        node, false, true, true, UNRESPONSIVE_MICROS, 0, ReplicationTimeouts.JOIN_DELAY_MICROS);
  }

  private static List<NodeId> nodes(View view) {
    return view.members().stream().map(ViewMember::node).toList();
  }

  @Test
  void nextViewIsEmptyIfAllNodesAreHealthy() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), healthy(C));
    assertThat(MembershipPolicy.nextViewOfPrimary(view, A, 1, others), is(Optional.empty()));
  }

  @Test
  void unresponsiveMemberIsDroppedIfCopiesRemain() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), unresponsive(C));
    View wanted = MembershipPolicy.nextViewOfPrimary(view, A, 1, others).orElseThrow();
    assertThat(nodes(wanted), contains(A, B));
    assertThat(wanted.witnesses(), contains(A, B, C));
  }

  @Test
  void lastCopyIsRetainedUntilReplaced() {
    View view = view(List.of(A, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), unresponsive(C));
    View first = MembershipPolicy.nextViewOfPrimary(view, A, 1, others).orElseThrow();
    assertThat(nodes(first), containsInAnyOrder(A, B, C));
    assertThat(first.member(B).orElseThrow().sinceEpoch(), is(5L));
    View second = MembershipPolicy.nextViewOfPrimary(first, A, 1, others).orElseThrow();
    assertThat(nodes(second), contains(A, B));
  }

  @Test
  void wipedNodeIsRemovedFromWitnessesAtOnce() {
    View view = view(List.of(A, B), List.of(A, B, C));
    PeerHealth former =
        new PeerHealth(C, true, false, false, 0, 0, ReplicationTimeouts.JOIN_DELAY_MICROS);
    View wanted =
        MembershipPolicy.nextViewOfPrimary(
                view, A, 1, List.of(healthy(B), former, healthy(C_AFTER_DISK_LOSS)))
            .orElseThrow();
    assertThat(wanted.witnesses(), containsInAnyOrder(A, B, C_AFTER_DISK_LOSS));
  }

  /**
   * The former identity belongs to the primary's own machine, which lost its disk before the
   * machine became the primary again.
   */
  @Test
  void formerIdentityOfThePrimaryIsRemovedFromWitnessesAtOnce() {
    NodeId former = node("10.0.0.1", 3);
    PeerHealth gone =
        new PeerHealth(former, false, false, false, 0, 0, ReplicationTimeouts.JOIN_DELAY_MICROS);
    View view = view(List.of(former, A), List.of(A, B, former));
    View wanted =
        MembershipPolicy.nextViewOfPrimary(view, A, 1, List.of(gone, healthy(B), healthy(C)))
            .orElseThrow();
    assertThat(wanted.witnesses(), containsInAnyOrder(A, B, C));
  }

  @Test
  void joiningNodeReplacesLostWitness() {
    View view = view(List.of(A, B), List.of(A, B, C));
    View wanted =
        MembershipPolicy.nextViewOfPrimary(
                view, A, 1, List.of(healthy(B), unresponsive(C), healthy(D)))
            .orElseThrow();
    assertThat(wanted.witnesses(), containsInAnyOrder(A, B, D));
  }

  @Test
  void noViewChangeWithoutNewMajority() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(unresponsive(B), unresponsive(C));
    assertThat(MembershipPolicy.nextViewOfPrimary(view, A, 1, others), is(Optional.empty()));
  }

  @Test
  void failoverRetainsOldPrimaryOnlyIfNeeded() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    View complete = MembershipPolicy.viewAfterFailover(view, B, 1, List.of(B, C), List.of(B, C));
    assertThat(nodes(complete), contains(B, C));
    View alone = MembershipPolicy.viewAfterFailover(view, B, 1, List.of(B), List.of(B));
    assertThat(nodes(alone), contains(B, C));
  }
}
