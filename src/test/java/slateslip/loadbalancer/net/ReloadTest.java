package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.loadbalancer.LoadBalancer;

/** A new configuration under way, over loopback sockets. */
class ReloadTest {
  @TempDir private Path dir;
  private LoopbackCluster fixture;
  private Path file;

  @BeforeEach
  void set() throws IOException {
    fixture = new LoopbackCluster();
    file = dir.resolve("config.json");
  }

  @AfterEach
  void strike() throws IOException {
    fixture.close();
  }

  /** The file as it is, but with discovery elsewhere. */
  private void write(String discovery) throws IOException {
    ObjectNode copy = fixture.config.deepCopy();
    Files.writeString(file, copy.put("discovery", discovery).toString());
  }

  /** Another discovery that lists this one server and then has no news; it notes the calls. */
  private ScriptedPeer discoveryOf(ScriptedPeer server) throws IOException {
    return fixture.peer(
        (message, socket) -> {
          if (!message.target().contains("since")) {
            ScriptedPeer.respond(
                socket,
                200,
                "",
                "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                    + LoopbackCluster.endpoint(9, server.address(), "Ready")
                    + "]}");
          }
        });
  }

  private static List<String> requested(ScriptedPeer discovery) {
    return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
  }

  @Test
  void movedDiscoveryFetchesFullListUndisturbed() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ScriptedPeer old =
        fixture.server(
            (message, socket) -> {
              go.await();
              ScriptedPeer.respond(socket, 200, "", "old");
            });
    ScriptedPeer fresh =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    ScriptedPeer other = discoveryOf(fresh);
    fixture.start();
    Socket queued = fixture.dial();
    ScriptedPeer.write(queued, fixture.request("order", 8000, "body"));
    LoopbackCluster.await(() -> old.requests.size() == 1);
    write(other.address());
    for (int i = 0; i < 5; i++) { // several in a row do no more than one
      fixture.agent.reload(file);
    }
    LoopbackCluster.await(
        () -> requested(other).stream().anyMatch(each -> each.contains("since=1&")));
    assertEquals("/v1/servers", requested(other).get(0));
    assertEquals(1, requested(other).stream().filter(each -> each.equals("/v1/servers")).count());
    for (int i = 0; i < 5; i++) {
      assertEquals("new", fixture.call("order").text(), "the new list is the whole list");
    }
    go.countDown();
    assertEquals("old", ScriptedPeer.read(queued.getInputStream()).text());
  }

  /** Guards against an agent without servers while the new discovery is not up yet. */
  @Test
  void theOldListStaysUntilTheNewOneComes() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer fresh =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    ScriptedPeer up = discoveryOf(fresh);
    ScriptedPeer down = fixture.peer((message, socket) -> ScriptedPeer.reset(socket));
    fixture.start();
    write(down.address());
    fixture.agent.reload(file);
    LoopbackCluster.await(() -> down.requests.size() >= 2);
    assertEquals("old", fixture.call("lookup").text());
    write(up.address());
    fixture.agent.reload(file);
    LoopbackCluster.await(() -> requested(up).stream().anyMatch(each -> each.contains("since=1&")));
    assertEquals("new", fixture.call("lookup").text());
  }

  /**
   * Guards against the module's wait after a failed call, which doubles: after a move the new list
   * is owed within 4 s, and a discovery that all agents call at once may turn some away.
   */
  @Test
  void failedCallsAfterMoveRetryWithoutDelay() throws Exception {
    ((ObjectNode) fixture.config.get("settings")).put("discovery", "subscribe");
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer fresh =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    ScriptedPeer busy =
        fixture.peer(
            (message, socket) -> {
              if (message.target().contains("since")) {
                return;
              }
              if (requested(fixture.peers.get(1)).size() <= 3) {
                ScriptedPeer.respond(socket, 503, "", "");
              } else {
                ScriptedPeer.respond(
                    socket,
                    200,
                    "",
                    "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                        + LoopbackCluster.endpoint(9, fresh.address(), "Ready")
                        + "]}");
              }
            });
    AtomicInteger waits = new AtomicInteger();
    fixture.start(
        fixture.overheard(
            (event, details) -> {
              if (event.equals("servers") && details[1] == LoadBalancer.ListKind.FAILED) {
                waits.incrementAndGet();
              }
            }));
    write(busy.address());
    fixture.agent.reload(file);
    LoopbackCluster.await(
        () -> requested(busy).stream().anyMatch(each -> each.contains("since=1&")));
    assertEquals(0, waits.get());
    assertEquals("new", fixture.call("lookup").text());
  }

  @Test
  void anUnusableFileChangesNothing() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    fixture.start();
    for (String text : List.of("", "{", "{}", "{\"discovery\":\"nowhere\"}")) {
      Files.writeString(file, text);
      fixture.agent.reload(file);
    }
    fixture.agent.reload(dir.resolve("missing"));
    int before = fixture.discovery.requests.size();
    fixture.update.add(
        LoopbackCluster.delta(1, LoopbackCluster.endpoint(2, "127.0.0.1:9", "Terminating")));
    LoopbackCluster.await(() -> fixture.discovery.requests.size() > before);
    assertEquals("old", fixture.call("lookup").text());
  }

  /**
   * Guards against the signal's usual effect, which is the end of the JVM, also while it ends in
   * order.
   */
  @Test
  void theProgramLivesThroughSighupsAndEndsOnSigterm() throws Exception {
    ScriptedPeer old =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer other = discoveryOf(old);
    write(fixture.discovery.address());
    Process process = program("-Xmx48m");
    try {
      LoopbackCluster.await(
          () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
      write(other.address());
      signal(process, "HUP");
      LoopbackCluster.await(
          () -> requested(other).stream().anyMatch(each -> each.contains("since=1&")));
      assertTrue(process.isAlive());
      signal(process, "TERM");
      for (int i = 0; i < 3; i++) {
        signal(process, "HUP");
      }
      assertTrue(process.waitFor(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, process.exitValue());
      assertFalse(Files.readString(dir.resolve("log")).contains("SIGHUP is ignored"));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Guards against an agent that follows an old discovery, and nothing tells why: the JVM cannot
   * hear it.
   */
  @Test
  void aStartThatIgnoresSighupSaysSo() throws Exception {
    write(fixture.discovery.address());
    ProcessBuilder program = builder("-Xmx48m");
    program.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    Process process = program.start();
    try {
      LoopbackCluster.await(
          () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
      signal(process, "TERM");
      assertTrue(process.waitFor(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
      assertTrue(Files.readString(dir.resolve("log")).contains("SIGHUP is ignored"));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Guards against a start that takes its time over what serves no request: making the library's
   * mapper or code for concatenations is a quarter of it on a part of a core, and nobody is served
   * meanwhile.
   */
  @Test
  void theStartLoadsNothingThatTakesLongToSetUp() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", ""));
    write(fixture.discovery.address());
    Process process = program("-Xlog:class+load");
    try {
      LoopbackCluster.await(
          () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
      signal(process, "TERM");
      assertTrue(process.waitFor(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
      String loaded = Files.readString(dir.resolve("log"));
      assertTrue(loaded.contains(" slateslip.loadbalancer.net.Discovery$ResponseHandler "));
      assertFalse(loaded.contains(" com.fasterxml.jackson.databind.ObjectMapper "));
      try (InputStream code = AgentConfig.class.getResourceAsStream("AgentConfig.class")) {
        String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
        assertFalse(
            text.contains("makeConcatWithConstants"), "concatenations are made by the compiler");
      }
    } finally {
      process.destroyForcibly();
    }
  }

  private Process program(String option) throws IOException {
    return builder(option).start();
  }

  private ProcessBuilder builder(String option) {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                option,
                "-cp",
                System.getProperty("java.class.path"),
                "slateslip.loadbalancer.Main",
                "serve"));
    ProcessBuilder program =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve("log").toFile());
    program.environment().put("RELAY_CONFIG", file.toString());
    return program;
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }
}
