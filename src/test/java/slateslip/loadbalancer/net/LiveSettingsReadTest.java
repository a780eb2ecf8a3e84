package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests when the file of live settings is read: after a change, after a signal, and one read at a
 * time.
 */
class LiveSettingsReadTest extends LiveSettingsFixture {
  /**
   * Guards against an agent that misses a change because a signal was lost or because the file was
   * read while it was being written.
   */
  @ParameterizedTest
  @ValueSource(ints = {10, 0})
  void changedFileIsReadWithoutSignal(int checkMs) throws Exception {
    fixture.server(SERVES);
    ((ObjectNode) fixture.config.get("live_settings")).put("check_ms", checkMs);
    write(41, config -> {});
    fixture.agent = Agent.start(file);
    LoopbackCluster.await(() -> logged().contains("settings: version 41 in force from the start"));
    if (checkMs > 0) {
      write(42, config -> insertFirst(config, "extra"));
      LoopbackCluster.await(() -> versionInForce() == 42);
    }
    write(43, config -> {});
    String complete = Files.readString(file);
    Files.writeString(file, complete.substring(0, complete.length() - 9));
    if (checkMs == 0) {
      fixture.agent.reload(file); // Polling continues until the file is complete.
    }
    awaitLogged("settings: refused: cannot read");
    Files.writeString(file, complete);
    LoopbackCluster.await(() -> versionInForce() == 43);
    assertEquals(400, status("extra"));
    long refused = logged().lines().filter(each -> each.contains("refused")).count();
    assertTrue(refused <= 2, "an unusable file is logged once: " + logged());
  }

  private Path pipe() throws Exception {
    Path pipe = dir.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    return pipe;
  }

  /** Requests during a read cause one further read, of the file that was requested last. */
  @Test
  void requestsDuringReadCauseOneMoreRead() throws Exception {
    fixture.server(SERVES);
    fixture.start();
    Path pipe = pipe();
    Thread reader = ScriptedPeer.daemon(() -> fixture.agent.reload(pipe));
    LoopbackCluster.await(
        () ->
            reader.getState() == Thread.State.RUNNABLE
                && LoopbackCluster.isInMethod(reader, "readForReload"));
    for (int version = 43; version <= 45; version++) {
      write(version, config -> insertFirst(config, "extra"));
      fixture.agent.reload(file);
    }
    assertEquals(41, versionInForce(), "requests are served while a read is blocked");
    assertEquals(200, fixture.call("lookup").status());
    ObjectNode copy = fixture.config.deepCopy();
    ((ObjectNode) copy.get("live_settings")).put("version", 42);
    Files.writeString(pipe, copy.toString());
    reader.join();
    LoopbackCluster.await(() -> versionInForce() == 45);
    assertEquals(List.of("42 in force, was 41", "45 in force, was 42"), changes());
    assertEquals(200, status("extra"));
  }

  private List<String> changes() {
    return Pattern.compile("settings: version (\\d+ in force, was \\d+)")
        .matcher(logged())
        .results()
        .map((MatchResult each) -> each.group(1))
        .toList();
  }

  @Test
  void lastOfManyVersionsIsApplied() throws Exception {
    fixture.server(SERVES);
    fixture.start();
    List<Thread> readers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      String name = "extra" + i;
      write(42 + i, config -> insertFirst(config, name));
      readers.add(ScriptedPeer.daemon(() -> fixture.agent.reload(file)));
    }
    fixture.agent.reload(file);
    for (Thread reader : readers) {
      reader.join(); // A later read would run when the file no longer exists.
    }
    LoopbackCluster.await(() -> versionInForce() == 141);
    assertEquals(200, status("extra99"));
    assertEquals(400, status("extra98"));
    long last = 41;
    for (String change : changes()) {
      assertTrue(change.endsWith(" in force, was " + last), change);
      last = Long.parseLong(change.split(" ", 2)[0]);
    }
    assertEquals(141, last);
    assertFalse(logged().contains("refused: "), logged());
  }

  @Test
  void shutdownDoesNotWaitForRead() throws Exception {
    fixture.start();
    Path pipe = pipe();
    Thread reader = ScriptedPeer.daemon(() -> fixture.agent.reload(pipe));
    LoopbackCluster.await(() -> LoopbackCluster.isInMethod(reader, "readForReload"));
    fixture.closeClients();
    fixture.agent.stop();
    ObjectNode copy = fixture.config.deepCopy();
    ((ObjectNode) copy.get("live_settings")).put("version", 42);
    Files.writeString(pipe, copy.toString());
    reader.join();
    assertTrue(logged().contains("reload: configuration not applied, the agent has ended"));
  }
}
