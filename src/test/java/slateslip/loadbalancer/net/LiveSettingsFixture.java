package slateslip.loadbalancer.net;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** An agent whose settings have a version, with its configuration file and its log. */
abstract class LiveSettingsFixture {
  static final ScriptedPeer.Script SERVES =
      (message, socket) -> ScriptedPeer.respond(socket, 200, "", "served");

  @TempDir Path dir;
  private final PrintStream usualLog = System.err;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  LoopbackCluster fixture;
  Path file;

  @BeforeEach
  void open() throws IOException {
    System.setErr(new PrintStream(log, true));
    fixture = new LoopbackCluster();
    fixture.config.putObject("live_settings").put("version", 41);
    file = dir.resolve("config.json");
  }

  @AfterEach
  void close() throws IOException {
    fixture.closeClients();
    if (fixture.agent != null) {
      // A running agent would log into the next test's log that its file is missing.
      fixture.agent.stop();
    }
    fixture.close();
    System.setErr(usualLog);
  }

  /**
   * Atomically replaces the file with the configuration under another version and with the given
   * change.
   */
  void write(long version, Consumer<ObjectNode> change) throws IOException {
    ObjectNode copy = fixture.config.deepCopy();
    ((ObjectNode) copy.get("live_settings")).put("version", version);
    change.accept(copy);
    Path fresh = Files.writeString(dir.resolve("fresh"), copy.toString());
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  void applyVersion(long version, Consumer<ObjectNode> change) throws IOException {
    write(version, change);
    fixture.agent.reload(file);
    LoopbackCluster.await(() -> version == versionInForce());
  }

  static ObjectNode settings(ObjectNode config) {
    return (ObjectNode) config.get("settings");
  }

  static ArrayNode classes(ObjectNode config) {
    return (ArrayNode) config.get("settings").get("classes");
  }

  /**
   * Inserts a class with another name before all others, so that the index of each class changes.
   */
  static void insertFirst(ObjectNode config, String name) {
    classes(config).insert(0, ((ObjectNode) classes(config).get(0).deepCopy()).put("name", name));
  }

  ScriptedPeer.Message health() throws IOException {
    return LoopbackCluster.exchange(
        fixture.dial(), "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  }

  long versionInForce() {
    try {
      return Long.parseLong(health().header("Settings-Version"));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  String logged() {
    return log.toString(StandardCharsets.UTF_8);
  }

  void awaitLogged(String line) {
    LoopbackCluster.await(() -> logged().lines().anyMatch(each -> each.startsWith(line)));
  }

  int status(String type) throws IOException {
    String request = fixture.request("lookup", 8000, "").replace("lookup", type);
    return LoopbackCluster.exchange(fixture.dial(), request).status();
  }
}
