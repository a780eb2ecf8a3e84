package slateslip.distribution.sessions;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;

/**
 * Checks the order of heartbeats, deregistration, reuse of addresses, expiry, and the changes that
 * readers receive.
 */
class SessionTableTest {
  private static final long EXPIRY = 3_600_000;
  private static final long START = 1_000_000;
  private static final String FIRST_ADDRESS = "10.1.0.9:8080";
  private static final String PEER = "10.2.0.1";
  private static final String OTHER_PEER = "10.3.0.1";
  private static final String SECOND_ADDRESS = "10.1.0.10:8080";

  private final SessionTable table = new SessionTable(EXPIRY);

  @Test
  void firstHeartbeatRegistersAndLaterHeartbeatsRenew() {
    assertThat(heartbeat(START, "a", FIRST_ADDRESS, 1), is(HeartbeatResult.CHANGED));
    assertThat(heartbeat(START + 1, "a", FIRST_ADDRESS, 2), is(HeartbeatResult.RENEWED));
    assertThat(ids(), contains("a"));
    assertThat(table.revision(), is(1L));
  }

  @Test
  void olderOrRepeatedHeartbeatIsStale() {
    heartbeat(START, "a", FIRST_ADDRESS, 5);
    table.heartbeat(START, draining("a", FIRST_ADDRESS, 6));
    assertThat(heartbeat(START, "a", FIRST_ADDRESS, 5), is(HeartbeatResult.STALE));
    assertThat(heartbeat(START, "a", FIRST_ADDRESS, 6), is(HeartbeatResult.STALE));
    assertThat(table.session("a").get().draining(), is(true));
  }

  @Test
  void startOfDrainingIsAChange() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    assertThat(
        table.heartbeat(START, draining("a", FIRST_ADDRESS, 2)), is(HeartbeatResult.CHANGED));
    assertThat(
        table.heartbeat(START, draining("a", FIRST_ADDRESS, 3)), is(HeartbeatResult.RENEWED));
  }

  @Test
  void deregisteredBackendNeverComesBack() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    assertThat(table.deregister(START, "a"), is(true));
    assertThat(table.deregister(START, "a"), is(false));
    assertThat(heartbeat(START, "a", FIRST_ADDRESS, 9), is(HeartbeatResult.STALE));
    table.merge(START, PEER, entry(session("a", FIRST_ADDRESS, 10), 0, 0));
    assertThat(ids(), is(empty()));
    assertThat(table.deregisteredIds(), contains("a"));
  }

  @Test
  void deregistrationOfUnknownBackendIsFinal() {
    table.deregister(START, "a");
    assertThat(heartbeat(START, "a", FIRST_ADDRESS, 1), is(HeartbeatResult.STALE));
  }

  @Test
  void newestIncarnationKeepsAddress() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    heartbeat(START + 1, "b", FIRST_ADDRESS, 1);
    assertThat(ids(), contains("b"));
    assertThat(heartbeat(START + 2, "a", FIRST_ADDRESS, 2), is(HeartbeatResult.STALE));
    assertThat(ids(), contains("b"));
  }

  @Test
  void olderIncarnationFromPeerIsIgnored() {
    heartbeat(START + 1_000_000, "b", FIRST_ADDRESS, 1);
    table.merge(START + 1_500_000, PEER, entry(session("a", FIRST_ADDRESS, 7), 1_400, 10));
    assertThat(ids(), contains("b"));
  }

  @Test
  void newerIncarnationFromPeerReplacesOlder() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.merge(START + 1_500_000, PEER, entry(session("b", FIRST_ADDRESS, 1), 20, 10));
    assertThat(ids(), contains("b"));
  }

  @Test
  void expiredIncarnationDoesNotRetakeAddress() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.expire(START + EXPIRY);
    heartbeat(START + EXPIRY + 1, "b", FIRST_ADDRESS, 1);
    assertThat(heartbeat(START + EXPIRY + 2, "a", FIRST_ADDRESS, 2), is(HeartbeatResult.STALE));
    assertThat(ids(), contains("b"));
  }

  @Test
  void expiredSessionComesBackWithNextHeartbeat() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.expire(START + EXPIRY - 1);
    assertThat(ids(), contains("a"));
    table.expire(START + EXPIRY);
    assertThat(ids(), is(empty()));
    assertThat(heartbeat(START + EXPIRY + 1, "a", FIRST_ADDRESS, 2), is(HeartbeatResult.CHANGED));
    assertThat(ids(), contains("a"));
  }

  @Test
  void expiryIsSuspendedWhileUnreachable() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.suspendExpiry(START + EXPIRY - 1);
    table.expire(START + 2 * EXPIRY - 2);
    assertThat(ids(), contains("a"));
    table.expire(START + 2 * EXPIRY - 1);
    assertThat(ids(), is(empty()));
  }

  @Test
  void renewalsFromPeersPreventExpiry() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    long later = START + EXPIRY - 1;
    assertThat(table.merge(later, PEER, new SessionRenewal("a", 100)), is(true));
    assertThat(table.merge(later, PEER, new SessionRenewal("unknown", 100)), is(false));
    table.expire(START + EXPIRY);
    assertThat(ids(), contains("a"));
    table.expire(later - 100_000 + EXPIRY);
    assertThat(ids(), is(empty()));
  }

  @Test
  void expiredEntryFromPeerIsNotAdded() {
    table.merge(START + 2 * EXPIRY, PEER, entry(session("a", FIRST_ADDRESS, 1), 9_000, 3_600));
    assertThat(ids(), is(empty()));
  }

  @Test
  void expiredEntryFromPeerIsAddedAfterRenewal() {
    table.merge(START + 2 * EXPIRY, PEER, entry(session("a", FIRST_ADDRESS, 1), 9_000, 3_600));
    table.merge(START + 2 * EXPIRY + 1, PEER, new SessionRenewal("a", 10));
    assertThat(ids(), contains("a"));
  }

  @Test
  void backendWithNewAddressKeepsIdAndFreesOldAddress() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    assertThat(heartbeat(START, "a", SECOND_ADDRESS, 2), is(HeartbeatResult.CHANGED));
    heartbeat(START, "b", FIRST_ADDRESS, 1);
    assertThat(ids(), containsInAnyOrder("a", "b"));
  }

  @Test
  void readersGetChangesAfterRevision() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    long read = table.revision();
    heartbeat(START, "b", SECOND_ADDRESS, 1);
    table.deregister(START, "a");
    SessionChangeSet change = table.changesAfter(read).get();
    assertThat(change.changed(), contains("b"));
    assertThat(change.removed(), contains("a"));
    assertThat(table.changesAfter(table.revision()).get().changed(), is(empty()));
  }

  @Test
  void sessionAddedAndRemovedBetweenReadsIsReportedRemoved() {
    long read = table.revision();
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.deregister(START, "a");
    SessionChangeSet change = table.changesAfter(read).get();
    assertThat(change.changed(), is(empty()));
    assertThat(change.removed(), contains("a"));
  }

  @Test
  void completedTableIsSentInFull() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    long read = table.revision();
    table.markComplete();
    assertThat(table.changesAfter(read), is(Optional.empty()));
    assertThat(table.isComplete(), is(true));
    long complete = table.revision();
    table.markComplete();
    assertThat(table.revision(), is(complete));
  }

  @Test
  void liveBackendReplacesIncarnationWithWrongAgeFromStalledPeer() {
    table.merge(START, PEER, entry(session("old", FIRST_ADDRESS, 40), 100, 100));
    table.merge(START + 1, OTHER_PEER, entry(session("live", FIRST_ADDRESS, 3), 900, 0));
    assertThat(ids(), contains("old"));
    long later = START + EXPIRY / 2;
    assertThat(heartbeat(later, "live", FIRST_ADDRESS, 4), is(HeartbeatResult.CHANGED));
    assertThat(ids(), contains("live"));
    assertThat(table.deregisteredIds(), is(empty()));
  }

  @Test
  void renewalFromPeerReplacesIncarnationWithWrongAge() {
    table.merge(START, PEER, entry(session("old", FIRST_ADDRESS, 40), 100, 100));
    table.merge(START + 1, OTHER_PEER, entry(session("live", FIRST_ADDRESS, 3), 900, 0));
    table.merge(START + EXPIRY / 2, OTHER_PEER, new SessionRenewal("live", 0));
    assertThat(ids(), contains("live"));
    assertThat(table.session("live").get().sequence(), is(4L));
  }

  @Test
  void lateHeartbeatOfOldIncarnationIsStale() {
    heartbeat(START, "old", FIRST_ADDRESS, 1);
    heartbeat(START + 1, "live", FIRST_ADDRESS, 1);
    long interval = EXPIRY / 3;
    heartbeat(START + interval, "live", FIRST_ADDRESS, 2);
    long late = START + interval + interval;
    assertThat(heartbeat(late, "old", FIRST_ADDRESS, 2), is(HeartbeatResult.STALE));
    assertThat(ids(), contains("live"));
  }

  @Test
  void repeatedHeartbeatOfSupersededIncarnationIsStale() {
    heartbeat(START, "old", FIRST_ADDRESS, 5);
    heartbeat(START + 1, "new", FIRST_ADDRESS, 1);
    long later = START + EXPIRY - 1;
    assertThat(heartbeat(later, "old", FIRST_ADDRESS, 5), is(HeartbeatResult.STALE));
    assertThat(ids(), contains("new"));
  }

  @Test
  void expiredSessionIsRestoredByRenewal() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    table.expire(START + EXPIRY);
    table.merge(START + EXPIRY + 1, PEER, new SessionRenewal("a", 10));
    assertThat(ids(), contains("a"));
    assertThat(table.session("a").get().sequence(), is(2L));
  }

  @Test
  void adoptedBackendIsReplicatedWithFullEntry() {
    table.merge(START, PEER, entry(session("a", FIRST_ADDRESS, 1), 0, 0));
    assertThat(heartbeat(START + 1, "a", FIRST_ADDRESS, 2), is(HeartbeatResult.ADOPTED));
    assertThat(heartbeat(START + 2, "a", FIRST_ADDRESS, 3), is(HeartbeatResult.RENEWED));
    table.merge(START + 3, PEER, new SessionRenewal("a", 0));
    assertThat(heartbeat(START + 4, "a", FIRST_ADDRESS, 4), is(HeartbeatResult.ADOPTED));
  }

  @Test
  void deregistrationOfUnknownBackendIsPublished() {
    long read = table.revision();
    table.deregister(START, "a");
    assertThat(table.changesAfter(read).get().removed(), contains("a"));
  }

  @Test
  void lostPeerSuspendsExpiryOfItsSessionsOnly() {
    table.merge(START, PEER, entry(session("a", FIRST_ADDRESS, 1), 0, 0));
    table.merge(START, OTHER_PEER, entry(session("b", SECOND_ADDRESS, 1), 0, 0));
    table.suspendExpiry(START + EXPIRY - 1, PEER);
    table.expire(START + EXPIRY);
    assertThat(ids(), contains("a"));
    table.expire(START + 2 * EXPIRY - 1);
    assertThat(ids(), is(empty()));
  }

  @Test
  void flappingPeerDoesNotKeepDeadBackend() {
    heartbeat(START, "a", FIRST_ADDRESS, 1);
    for (long at = START; at < START + EXPIRY; at += EXPIRY / 4) {
      table.suspendExpiry(at, PEER);
    }
    table.expire(START + EXPIRY);
    assertThat(ids(), is(empty()));
  }

  private HeartbeatResult heartbeat(long now, String id, String address, long sequence) {
    return table.heartbeat(now, session(id, address, sequence));
  }

  private List<String> ids() {
    return table.sessions().stream().map(BackendSession::id).toList();
  }

  private static BackendSession session(String id, String address, long sequence) {
    return new BackendSession(id, "s", address, "z", "v1", 8, false, 0, sequence);
  }

  private static BackendSession draining(String id, String address, long sequence) {
    return new BackendSession(id, "s", address, "z", "v1", 8, true, 0, sequence);
  }

  private static SessionEntry entry(BackendSession session, long registeredAge, long heardAge) {
    return new SessionEntry(session, registeredAge, heardAge);
  }
}
