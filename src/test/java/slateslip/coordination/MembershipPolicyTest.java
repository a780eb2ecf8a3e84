package slateslip.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class MembershipPolicyTest {
  private static final long HEALTHY_MICROS = 60_000_000;
  private static final long UNRESPONSIVE_MICROS = 5_000_000;
  private static final FailureTolerance ONE_MACHINE = FailureTolerance.ofMachines(1);
  private static final NodeId A = node("10.0.0.1", 0);
  private static final NodeId B = node("10.0.0.2", 0);
  private static final NodeId C = node("10.0.0.3", 0);
  private static final NodeId D = node("10.0.0.4", 9);
  private static final NodeId E = node("10.0.0.5", 0);
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
        node,
        true,
        true,
        true,
        0,
        HEALTHY_MICROS,
        ReplicationTimeouts.JOIN_DELAY_MICROS,
        NodeLocation.UNKNOWN);
  }

  private static PeerHealth unresponsive(NodeId node) {
    return new PeerHealth(
        node,
        false,
        true,
        true,
        UNRESPONSIVE_MICROS,
        0,
        ReplicationTimeouts.JOIN_DELAY_MICROS,
        NodeLocation.UNKNOWN);
  }

  private static Optional<View> nextView(View view, List<PeerHealth> others) {
    ObservedNodes observed = new ObservedNodes(A, NodeLocation.UNKNOWN, others);
    return MembershipPolicy.nextViewOfPrimary(view, observed, ONE_MACHINE);
  }

  private static View viewAfterFailover(View view, List<NodeId> installed) {
    Map<NodeId, NodeLocation> responding = new HashMap<>();
    installed.forEach(node -> responding.put(node, NodeLocation.UNKNOWN));
    return MembershipPolicy.viewAfterFailover(view, B, ONE_MACHINE, responding, installed);
  }

  private static List<NodeId> nodes(View view) {
    return view.members().stream().map(ViewMember::node).toList();
  }

  @Test
  void nextViewIsEmptyIfAllNodesAreHealthy() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), healthy(C));
    assertThat(nextView(view, others), is(Optional.empty()));
  }

  @Test
  void unresponsiveMemberIsDroppedIfCopiesRemain() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), unresponsive(C));
    View wanted = nextView(view, others).orElseThrow();
    assertThat(nodes(wanted), contains(A, B));
    assertThat(wanted.witnesses(), contains(A, B, C));
  }

  @Test
  void lastCopyIsRetainedUntilReplaced() {
    View view = view(List.of(A, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(healthy(B), unresponsive(C));
    View first = nextView(view, others).orElseThrow();
    assertThat(nodes(first), containsInAnyOrder(A, B, C));
    assertThat(first.member(B).orElseThrow().sinceEpoch(), is(5L));
    View second = nextView(first, others).orElseThrow();
    assertThat(nodes(second), contains(A, B));
  }

  @Test
  void wipedNodeIsRemovedFromWitnessesAtOnce() {
    View view = view(List.of(A, B), List.of(A, B, C));
    PeerHealth former =
        new PeerHealth(
            C,
            true,
            false,
            false,
            0,
            0,
            ReplicationTimeouts.JOIN_DELAY_MICROS,
            NodeLocation.UNKNOWN);
    View wanted =
        nextView(view, List.of(healthy(B), former, healthy(C_AFTER_DISK_LOSS))).orElseThrow();
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
        new PeerHealth(
            former,
            false,
            false,
            false,
            0,
            0,
            ReplicationTimeouts.JOIN_DELAY_MICROS,
            NodeLocation.UNKNOWN);
    View view = view(List.of(former, A), List.of(A, B, former));
    View wanted = nextView(view, List.of(gone, healthy(B), healthy(C))).orElseThrow();
    assertThat(wanted.witnesses(), containsInAnyOrder(A, B, C));
  }

  @Test
  void joiningNodeReplacesLostWitness() {
    View view = view(List.of(A, B), List.of(A, B, C));
    View wanted = nextView(view, List.of(healthy(B), unresponsive(C), healthy(D))).orElseThrow();
    assertThat(wanted.witnesses(), containsInAnyOrder(A, B, D));
  }

  @Test
  void noViewChangeWithoutNewMajority() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    List<PeerHealth> others = List.of(unresponsive(B), unresponsive(C));
    assertThat(nextView(view, others), is(Optional.empty()));
  }

  @Test
  void failoverRetainsOldPrimaryOnlyIfNeeded() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    View complete = viewAfterFailover(view, List.of(B, C));
    assertThat(nodes(complete), contains(B, C));
    View alone = viewAfterFailover(view, List.of(B));
    assertThat(nodes(alone), contains(B, C));
  }

  private static final FailureTolerance ONE_ZONE = new FailureTolerance(0, 1, 0);
  private static final NodeLocation ZONE_1 = new NodeLocation("z1", "r");
  private static final NodeLocation ZONE_2 = new NodeLocation("z2", "r");
  private static final NodeLocation ZONE_3 = new NodeLocation("z3", "r");

  private static PeerHealth in(NodeLocation location, PeerHealth health) {
    return new PeerHealth(
        health.node(),
        health.healthy(),
        health.installed(),
        health.caughtUp(),
        health.unresponsiveMicros(),
        health.healthyMicros(),
        health.joinDelayMicros(),
        location);
  }

  /** Returns the next view of the primary A, which is in zone 1, if one zone may be lost. */
  private static Optional<View> nextViewByZones(View view, PeerHealth... others) {
    ObservedNodes observed = new ObservedNodes(A, ZONE_1, List.of(others));
    return MembershipPolicy.nextViewOfPrimary(view, observed, ONE_ZONE);
  }

  /** Guards against members that are counted by number alone (review, case 6). */
  @Test
  void viewThatHasDriftedIntoOneZoneGetsMembersOfOtherZones() {
    View view = view(List.of(A, B), List.of(A, B, C, D));
    View wanted =
        nextViewByZones(
                view, in(ZONE_1, healthy(B)), in(ZONE_2, healthy(C)), in(ZONE_3, healthy(D)))
            .orElseThrow();
    assertThat(nodes(wanted), contains(A, B, C, D));
    View mended =
        nextViewByZones(
                wanted, in(ZONE_1, healthy(B)), in(ZONE_2, healthy(C)), in(ZONE_3, healthy(D)))
            .orElseThrow();
    assertThat(nodes(mended), contains(A, C, D));
    assertThat(mended.witnesses(), contains(A, C, D));
  }

  /** Guards against last copies that are counted by number alone. */
  @Test
  void unresponsiveMemberIsKeptWhileItMayHoldTheOnlyCopyOfAnotherZone() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    Optional<View> kept =
        nextViewByZones(view, in(ZONE_1, healthy(B)), in(ZONE_2, unresponsive(C)));
    assertThat(kept, is(Optional.empty()));
    View dropped =
        nextViewByZones(view, in(ZONE_2, healthy(B)), in(ZONE_3, unresponsive(C))).orElseThrow();
    assertThat(nodes(dropped), contains(A, B));
  }

  /** Guards against witnesses that are counted by number alone. */
  @Test
  void secondAgentOfZoneIsNoWitnessIfNoMajorityWouldRemain() {
    View view = view(List.of(A, C, D), List.of(A, B, C, D));
    View wanted =
        nextViewByZones(
                view, in(ZONE_1, healthy(B)), in(ZONE_2, healthy(C)), in(ZONE_3, healthy(D)))
            .orElseThrow();
    assertThat(wanted.witnesses(), contains(A, C, D));
    assertThat(nodes(wanted), contains(A, C, D));
  }

  /** Guards against a removal after which the loss of a zone leaves no majority. */
  @Test
  void unresponsiveWitnessIsKeptIfOnlyWithItMajorityRemains() {
    View view = view(List.of(A, B, C), List.of(A, B, C, D, E));
    Optional<View> next =
        nextViewByZones(
            view,
            in(ZONE_2, healthy(B)),
            in(ZONE_3, healthy(C)),
            in(ZONE_1, healthy(D)),
            in(ZONE_2, unresponsive(E)));
    assertThat(next, is(Optional.empty()));
  }

  @Test
  void viewWithCopiesAndWitnessesInThreeZonesStays() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    Optional<View> next = nextViewByZones(view, in(ZONE_2, healthy(B)), in(ZONE_3, healthy(C)));
    assertThat(next, is(Optional.empty()));
  }

  /** Guards against a failover that counts complete copies by number alone. */
  @Test
  void failoverKeepsMembersUntilCompleteCopiesAreInTwoZones() {
    View view = view(List.of(A, B, C), List.of(A, B, C));
    Map<NodeId, NodeLocation> sameZone = Map.of(B, ZONE_1, C, ZONE_1);
    View kept = MembershipPolicy.viewAfterFailover(view, B, ONE_ZONE, sameZone, List.of(B, C));
    assertThat(nodes(kept), contains(A, B, C));
    Map<NodeId, NodeLocation> twoZones = Map.of(B, ZONE_1, C, ZONE_2);
    View dropped = MembershipPolicy.viewAfterFailover(view, B, ONE_ZONE, twoZones, List.of(B, C));
    assertThat(nodes(dropped), contains(B, C));
  }
}
