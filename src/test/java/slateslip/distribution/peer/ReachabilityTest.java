package slateslip.distribution.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that reachability requires heartbeats in both directions. */
class ReachabilityTest {
  private static final String SELF = "10.1.0.1";
  private static final String PEER = "10.2.0.1";
  private static final String OTHER = "10.3.0.1";
  private static final long START = 5_000_000;
  private static final long INCARNATION = 0x2b5c_9d10_77e1_0345L;
  private static final long EARLIER_INCARNATION = 0x1111_9d10_77e1_0345L;

  private final Reachability reachability = new Reachability(SELF, INCARNATION);

  @Test
  void addPeersReturnsNewPeersOnceAndNeverSelf() {
    assertThat(reachability.addPeers(START, List.of(SELF, PEER, PEER)), contains(PEER));
    assertThat(reachability.addPeers(START, List.of(PEER)), is(empty()));
  }

  @Test
  void oneWayPeerIsUnreachable() {
    heartbeatReceived(START, PEER, 1, 0);
    assertThat(reachability.hasRecentHeartbeat(START, PEER), is(true));
    assertThat(reachability.isReachable(START, PEER), is(false));
    heartbeatReceived(START, PEER, 2, START - Reachability.PEER_TIMEOUT_MICROS);
    assertThat(reachability.isReachable(START, PEER), is(false));
    heartbeatReceived(START, PEER, 3, START - 1);
    assertThat(reachability.isReachable(START, PEER), is(true));
  }

  @Test
  void acknowledgementOfEarlierIncarnationsHeartbeatIsIgnored() {
    Reachability earlier = new Reachability(SELF, EARLIER_INCARNATION);
    long earlierHeartbeat = earlier.heartbeatNumber(START + 900_000_000);
    reachability.heartbeatReceived(
        START, PEER, new ControlPeerMessage.Heartbeat(1, earlierHeartbeat, true, List.of()));
    assertThat(reachability.isReachable(START, PEER), is(false));
    assertThat(reachability.acknowledgedMicros(PEER), is(0L));
    long laterHeartbeat = new Reachability(SELF, -EARLIER_INCARNATION).heartbeatNumber(START);
    reachability.heartbeatReceived(
        START, PEER, new ControlPeerMessage.Heartbeat(2, laterHeartbeat, true, List.of()));
    assertThat(reachability.isReachable(START, PEER), is(false));
  }

  @Test
  void silentPeerBecomesUnreachable() {
    heartbeatReceived(START, PEER, 1, START);
    assertThat(
        reachability.reachablePeers(START + Reachability.PEER_TIMEOUT_MICROS - 1), contains(PEER));
    assertThat(reachability.reachablePeers(START + Reachability.PEER_TIMEOUT_MICROS), is(empty()));
  }

  @Test
  void majorityCountsSelfOnlyIfAmongWitnesses() {
    heartbeatReceived(START, PEER, 1, START);
    assertThat(reachability.reachesMajority(START, List.of(SELF, PEER, OTHER)), is(true));
    assertThat(reachability.reachesMajority(START, List.of(PEER, OTHER, "10.4.0.1")), is(false));
    assertThat(reachability.reachesMajority(START, List.of(SELF, PEER, OTHER, "x")), is(false));
  }

  @Test
  void acknowledgesNewestHeartbeatUntilPeerRestarts() {
    heartbeatReceived(START, PEER, 41, START);
    assertThat(reachability.lastHeartbeatNumber(PEER), is(41L));
    reachability.peerRestarted(PEER);
    assertThat(reachability.lastHeartbeatNumber(PEER), is(0L));
  }

  @Test
  void silentAgentsAreRemovedUnlessRetained() {
    reachability.addPeers(START, List.of(PEER, OTHER));
    long later = START + 60_000_000;
    assertThat(reachability.removeExpired(later, List.of(OTHER)), contains(PEER));
    assertThat(reachability.knownPeers(), contains(OTHER));
  }

  private void heartbeatReceived(long now, String peer, long number, long acknowledgedSentMicros) {
    long acknowledgedNumber =
        acknowledgedSentMicros == 0 ? 0 : reachability.heartbeatNumber(acknowledgedSentMicros);
    reachability.heartbeatReceived(
        now, peer, new ControlPeerMessage.Heartbeat(number, acknowledgedNumber, true, List.of()));
  }
}
