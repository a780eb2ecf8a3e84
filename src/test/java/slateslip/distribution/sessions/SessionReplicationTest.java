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

/**
 * Checks that peers end up with the same sessions even if messages are lost when a connection
 * disconnects.
 */
class SessionReplicationTest {
  private static final long EXPIRY = 3_600_000;
  private static final String PEER = "10.2.0.1";

  private final SessionTable table = new SessionTable(EXPIRY);
  private final SessionReplication replication = new SessionReplication(table);
  private long now = 1_000_000;

  @Test
  void newPeerReceivesFullTable() {
    register("a", 1);
    table.deregister(now, "gone");
    List<OutboundMessage> messages = replication.connected(now, PEER, 7);
    SessionChanges changes = (SessionChanges) messages.get(0).message();
    assertThat(changes.fullTable(), is(true));
    assertThat(ids(changes), contains("a"));
    assertThat(changes.deregistered(), contains("gone"));
  }

  @Test
  void changesAreSentAtOnceAndRenewalsInBatches() {
    replication.connected(now, PEER, 7);
    register("a", 1);
    List<OutboundMessage> messages = replication.replicateChanges(now, 4, List.of("a"));
    assertThat(((SessionChanges) messages.get(0).message()).number(), is(4L));
    replication.recordRenewal("a");
    List<OutboundMessage> batch = replication.flushRenewals(now);
    assertThat(((SessionRenewals) batch.get(0).message()).renewals(), hasSize(1));
    assertThat(replication.flushRenewals(now), is(empty()));
  }

  @Test
  void onlyDeregistrationIsSentAsDeregistered() {
    replication.connected(now, PEER, 7);
    register("a", 1);
    table.deregister(now, "a");
    SessionChanges change =
        (SessionChanges)
            replication.replicateChanges(now, 0, List.of("a", "expired")).get(0).message();
    assertThat(change.deregistered(), contains("a"));
    assertThat(change.entries(), is(empty()));
  }

  @Test
  void reconnectedPeerReceivesMissedChanges() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    register("a", 1);
    assertThat(replication.replicateChanges(now, 0, List.of("a")), is(empty()));
    SessionChanges resent = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(resent.fullTable(), is(false));
    assertThat(ids(resent), contains("a"));
  }

  @Test
  void unacknowledgedChangeIsSentAgainAfterReconnect() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    register("a", 1);
    replication.replicateChanges(now, 0, List.of("a"));
    now += 10;
    register("b", 1);
    replication.replicateChanges(now, 0, List.of("b"));
    replication.acknowledged(PEER, now);
    replication.disconnected(PEER);
    SessionChanges resent = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(ids(resent), contains("b"));
  }

  @Test
  void restartedPeerReceivesFullTable() {
    register("a", 1);
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    SessionChanges resent = (SessionChanges) replication.connected(now, PEER, 8).get(0).message();
    assertThat(resent.fullTable(), is(true));
  }

  @Test
  void peerWithTooManyHintsReceivesFullTable() {
    replication.connected(now, PEER, 7);
    replication.acknowledged(PEER, now + 1);
    replication.disconnected(PEER);
    for (int index = 0; index <= HintedHandoff.MAX_HINTS; index++) {
      replication.replicateChanges(now, 0, List.of("i-" + index));
    }
    SessionChanges resent = (SessionChanges) replication.connected(now, PEER, 7).get(0).message();
    assertThat(resent.fullTable(), is(true));
  }

  @Test
  void tablesConvergeAfterRandomDisconnects() {
    Random random = new Random(11);
    SessionTable other = new SessionTable(EXPIRY);
    boolean connected = false;
    long acknowledgedUpTo = 0;
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
          deliver(
              replication.replicateChanges(now, 0, List.of(id + "-" + step / 2_000)), other, true);
        }
        default -> {
          register(id + "-" + step / 2_000, step);
          boolean disconnects = connected && random.nextInt(20) == 0;
          deliver(
              replication.replicateChanges(now, 0, List.of(id + "-" + step / 2_000)),
              other,
              !disconnects);
          if (disconnects) {
            replication.disconnected(PEER);
            connected = false;
          } else if (connected) {
            acknowledgedUpTo = now;
          }
        }
      }
      if (connected && random.nextBoolean()) {
        replication.acknowledged(PEER, acknowledgedUpTo);
      }
    }
    if (!connected) {
      deliver(replication.connected(now, PEER, 7), other, true);
    }
    assertThat(sortedSessions(other), is(sortedSessions(table)));
  }

  private void deliver(List<OutboundMessage> messages, SessionTable other, boolean arrives) {
    if (!arrives) {
      return;
    }
    for (OutboundMessage outbound : messages) {
      SessionChanges changes = (SessionChanges) outbound.message();
      changes.entries().forEach(entry -> other.merge(now, PEER, entry));
      changes.deregistered().forEach(id -> other.deregister(now, id));
    }
  }

  private static List<BackendSession> sortedSessions(SessionTable source) {
    return source.sessions().stream()
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .toList();
  }

  private void register(String id, long sequence) {
    String address = "10.1.0." + Integer.parseInt(id.replaceAll("[^0-9]", "0")) % 251 + ":8080";
    table.heartbeat(now, new BackendSession(id, "s", address, "z", "v1", 8, false, 0, sequence));
  }

  private static List<String> ids(SessionChanges changes) {
    return changes.entries().stream().map(SessionEntry::session).map(BackendSession::id).toList();
  }
}
