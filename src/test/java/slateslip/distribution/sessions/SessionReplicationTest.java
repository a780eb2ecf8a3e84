package slateslip.distribution.sessions;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.ControlPeerMessage.SessionChanges;
import slateslip.distribution.peer.ControlPeerMessage.SessionRenewals;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.sessions.SessionReplication.OutboundMessage;

/** Peers come to hold the same sessions, whatever is lost with a connection that breaks. */
class SessionReplicationTest {
  private static final long EXPIRY = 3_600_000;
  private static final String PEER = "10.2.0.1";

  private final SessionTable table = new SessionTable(EXPIRY);
  private final SessionReplication replication = new SessionReplication(table);
  private long now = 1_000_000;

  @Test
  void aPeerThatConnectsFirstGetsTheWholeTable() {
    register("a", 1);
    table.deregister(now, "gone");
    List<OutboundMessage> messages = replication.connected(now, PEER, 7);
    SessionChanges needsFullTable = (SessionChanges) messages.get(0).message();
    assertThat(needsFullTable.fullTable(), is(true));
    assertThat(ids(needsFullTable), contains("a"));
    assertThat(needsFullTable.deregistered(), contains("gone"));
  }

  @Test
  void changesGoOutAtOnceAndRenewalsInBatches() {
    replication.connected(now, PEER, 7);
    register("a", 1);
    List<OutboundMessage> messages = replication.changed(now, 4, List.of("a"));
    assertThat(((SessionChanges) messages.get(0).message()).number(), is(4L));
    replication.recordRenewal("a");
    List<OutboundMessage> batch = replication.flushRenewals(now);
    assertThat(((SessionRenewals) batch.get(0).message()).renewals(), hasSize(1));
    assertThat(replication.flushRenewals(now), is(empty()));
  }

  @Test
  void aDepartureIsToldAsOneAndAnExpiryIsNot() {
    replication.connected(now, PEER, 7);
    register("a", 1);
    table.deregister(now, "a");
    SessionChanges change =
        (SessionChanges) replication.changed(now, 0, List.of("a", "expired")).get(0).message();
    assertThat(change.deregistered(), contains("a"));
    assertThat(change.entries(), is(empty()));
  }

  @Test
  void aPeerThatWasAwayIsHandedWhatItMissed() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    register("a", 1);
    assertThat(replication.changed(now, 0, List.of("a")), is(empty()));
    SessionChanges handed = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(handed.fullTable(), is(false));
    assertThat(ids(handed), contains("a"));
  }

  @Test
  void unacknowledgedIsHandedOffAgain() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    register("a", 1);
    replication.changed(now, 0, List.of("a"));
    now += 10;
    register("b", 1);
    replication.changed(now, 0, List.of("b"));
    replication.acknowledged(PEER, now);
    replication.disconnected(PEER);
    SessionChanges handed = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(ids(handed), contains("b"));
  }

  @Test
  void aPeerThatStartedAnewGetsTheWholeTable() {
    register("a", 1);
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    SessionChanges handed = (SessionChanges) replication.connected(now, PEER, 8).get(0).message();
    assertThat(handed.fullTable(), is(true));
  }

  @Test
  void aPeerWithTooManyHintsGetsTheWholeTable() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    for (int index = 0; index <= HintedHandoff.MAX_HINTS; index++) {
      replication.changed(now, 0, List.of("i-" + index));
    }
    SessionChanges handed = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(handed.fullTable(), is(true));
  }

  @Test
  void twoTablesAgreeAfterAnyBreaks() {
    Random random = new Random(11);
    SessionTable other = new SessionTable(EXPIRY);
    boolean connected = false;
    long confirmedUpTo = 0;
    for (int step = 0; step < 20_000; step++) {
      now += 1_000;
      String id = "i-" + random.nextInt(40);
      switch (random.nextInt(8)) {
        case 0 -> {
          if (connected) {
            replication.disconnected(PEER);
          } else {
            deliver(replication.connected(now, PEER, 7), other, true);
          }
          connected = !connected;
        }
        case 1 -> {
          table.deregister(now, id + "-" + step / 2_000);
          deliver(replication.changed(now, 0, List.of(id + "-" + step / 2_000)), other, true);
        }
        default -> {
          register(id + "-" + step / 2_000, step);
          boolean breaks = connected && random.nextInt(20) == 0;
          deliver(replication.changed(now, 0, List.of(id + "-" + step / 2_000)), other, !breaks);
          if (breaks) {
            replication.disconnected(PEER);
            connected = false;
          } else if (connected) {
            confirmedUpTo = now;
          }
        }
      }
      if (connected && random.nextBoolean()) {
        replication.acknowledged(PEER, confirmedUpTo);
      }
    }
    if (!connected) {
      deliver(replication.connected(now, PEER, 7), other, true);
    }
    assertThat(live(other), is(live(table)));
  }

  private void deliver(List<OutboundMessage> messages, SessionTable other, boolean arrives) {
    if (!arrives) {
      return;
    }
    for (OutboundMessage send : messages) {
      SessionChanges changes = (SessionChanges) send.message();
      changes.entries().forEach(entry -> other.merge(now, PEER, entry));
      changes.deregistered().forEach(id -> other.deregister(now, id));
    }
  }

  private static List<BackendSession> live(SessionTable of) {
    return of.sessions().stream().sorted((one, two) -> one.id().compareTo(two.id())).toList();
  }

  private void register(String id, long sequence) {
    String address = "10.1.0." + Integer.parseInt(id.replaceAll("[^0-9]", "0")) % 251 + ":8080";
    table.heartbeat(now, new BackendSession(id, "s", address, "z", "v1", 8, false, 0, sequence));
  }

  private static List<String> ids(SessionChanges changes) {
    return changes.entries().stream().map(SessionEntry::session).map(BackendSession::id).toList();
  }
}
