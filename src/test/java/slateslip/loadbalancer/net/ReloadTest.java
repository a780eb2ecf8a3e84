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

/** Tests a configuration file that changes while the agent runs, over loopback sockets. */
class ReloadTest {
  @TempDir private Path dir;
  private LoopbackCluster fixture;
  private Path file;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
    file = dir.resolve("config.json");
  }

  @AfterEach
  void tearDown() throws IOException {
    fixture.close();
  }

  /** Writes the configuration with another address of discovery. */
  private void write(String discovery) throws IOException {
    ObjectNode copy = fixture.config.deepCopy();
    Files.writeString(file, copy.put("discovery", discovery).toString());
  }

  /**
   * Starts another discovery service that lists only the given server and has no further changes.
   */
  private ScriptedPeer startDiscovery(ScriptedPeer server) throws IOException {
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
    CountDownLatch release = new CountDownLatch(1);
    ScriptedPeer old =
        fixture.server(
            (message, socket) -> {
              release.await();
              ScriptedPeer.respond(socket, 200, "", "old");
            });
    ScriptedPeer fresh =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    ScriptedPeer other = startDiscovery(fresh);
    fixture.start();
    Socket queued = fixture.dial();
    ScriptedPeer.write(queued, fixture.request("order", 8000, "body"));
    LoopbackCluster.await(() -> old.requests.size() == 1);
    write(other.address());
    for (int i = 0; i < 5; i++) { // Several reloads in a row have the effect of one.
      fixture.agent.reload(file);
    }
    LoopbackCluster.await(
        () -> requested(other).stream().anyMatch(each -> each.contains("since=1&")));
    assertEquals("/v1/servers", requested(other).get(0));
    assertEquals(1, requested(other).stream().filter(each -> each.equals("/v1/servers")).count());
    for (int i = 0; i < 5; i++) {
      assertEquals("new", fixture.call("order").text(), "only the new list is in use");
    }
    release.countDown();
    assertEquals("old", ScriptedPeer.read(queued.getInputStream()).text());
  }

  /**
   * Guards against an agent without servers while the new discovery service is not available yet.
   */
  @Test
  void oldListIsUsedUntilNewListArrives() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer fresh =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    ScriptedPeer up = startDiscovery(fresh);
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
   * Guards against the load balancer's delay after a failed call, which doubles. After a move the
   * new list is due within 4 s, and a discovery service that all agents call at once may reject
   * some calls.
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
    AtomicInteger failures = new AtomicInteger();
    fixture.start(
        fixture.intercepted(
            (event, arguments) -> {
              if (event.equals("servers") && arguments[1] == LoadBalancer.ListKind.FAILED) {
                failures.incrementAndGet();
              }
            }));
    write(busy.address());
    fixture.agent.reload(file);
    LoopbackCluster.await(
        () -> requested(busy).stream().anyMatch(each -> each.contains("since=1&")));
    assertEquals(0, failures.get());
    assertEquals("new", fixture.call("lookup").text());
  }

  @Test
  void unusableFileChangesNothing() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    fixture.start();
    for (String text : List.of("", "{", "{}", "{\"discovery\":\"nowhere\"}")) {
      Files.writeString(file, text);
      fixture.agent.reload(file);
    }
    fixture.agent.reload(dir.resolve("missing"));
    int before = fixture.discovery.requests.size();
    fixture.watchResponses.add(
        LoopbackCluster.delta(1, LoopbackCluster.endpoint(2, "127.0.0.1:9", "Terminating")));
    LoopbackCluster.await(() -> fixture.discovery.requests.size() > before);
    assertEquals("old", fixture.call("lookup").text());
  }

  /**
   * Guards against the default effect of SIGHUP, which ends the JVM, also during the graceful
   * shutdown.
   */
  @Test
  void processSurvivesSighupAndEndsOnSigterm() throws Exception {
    ScriptedPeer old =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer other = startDiscovery(old);
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
      assertTrue(process.waitFor(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, process.exitValue());
      assertFalse(Files.readString(dir.resolve("log")).contains("SIGHUP is ignored"));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Guards against an agent that keeps using an old discovery service without any message, because
   * the JVM cannot receive the signal.
   */
  @Test
  void ignoredSighupIsLogged() throws Exception {
    write(fixture.discovery.address());
    ProcessBuilder program = builder("-Xmx48m");
    program.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    Process process = program.start();
    try {
      LoopbackCluster.await(
          () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
      signal(process, "TERM");
      assertTrue(process.waitFor(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
      assertTrue(Files.readString(dir.resolve("log")).contains("SIGHUP is ignored"));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Guards against a slow start: creating Jackson's ObjectMapper or generating code for string
   * concatenation takes a quarter of the start on a fraction of a core, during which the agent
   * serves no requests.
   */
  @Test
  void startDoesNotLoadSlowClasses() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", ""));
    write(fixture.discovery.address());
    Process process = program("-Xlog:class+load");
    try {
      LoopbackCluster.await(
          () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
      signal(process, "TERM");
      assertTrue(process.waitFor(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
      String loaded = Files.readString(dir.resolve("log"));
      assertTrue(loaded.contains(" slateslip.loadbalancer.net.Discovery$ResponseHandler "));
      assertFalse(loaded.contains(" com.fasterxml.jackson.databind.ObjectMapper "));
      try (InputStream code = AgentConfig.class.getResourceAsStream("AgentConfig.class")) {
        String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
        assertFalse(
            text.contains("makeConcatWithConstants"),
            "the compiler must inline string concatenation");
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
