package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that refused settings leave the settings in force unchanged. */
class RejectedLiveSettingsTest extends LiveSettingsFixture {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "''|settings: refused: cannot read",
        "'{'|settings: refused: cannot read",
        "half|settings: refused: cannot read",
        "twice|settings: refused: cannot read",
        "'{}'|settings: refused: settings is missing",
        "no caps|settings: version 42 refused: caps.max-attempts is missing; 41 stays",
        "aim|settings: version 42 refused: classes.0.aim-us has an unusable value: 0; 41 stays",
        "worth|settings: version 42 refused: classes.1.worth has an unusable value: -1.0; 41 stays",
        "sockets|settings: version 42 refused: sockets has an unusable value: 3; 41 stays",
        "names|settings: version 42 refused: classes has pay twice; 41 stays",
        "listen|settings: version 42 refused: listen cannot change while the agent runs; 41 stays",
        "me|settings: version 42 refused: me cannot change while the agent runs; 41 stays",
        "locality|settings: version 42 refused: locality cannot change while the agent runs; 41 stays",
        "zones|settings: version 42 refused: zones lacks a, which has servers; 41 stays",
        "not live|settings: refused: live_settings is missing; 41 stays",
        "version|settings: refused: live_settings.version has an unusable value: \"42\"; 41 stays",
        "lower|settings: version 40 refused: live_settings.version is lower",
        "same|settings: version 41 refused: live_settings.version is the same, but the content is another"
      })
  void unusableSettingsOnlyMoveDiscoveryAndNextVersionIsApplied(String fault, String line)
      throws Exception {
    fixture.server(SERVES);
    ScriptedPeer elsewhere =
        fixture.peer(
            (message, socket) -> {
              if (!message.target().contains("since")) {
                ScriptedPeer.respond(socket, 200, "", fixture.config.get("known").toString());
              }
            });
    fixture.start();
    write(
        fault.equals("lower") ? 40 : fault.equals("same") ? 41 : 42,
        config -> {
          // The class "extra" shows whether any part of the refused settings is in force.
          insertFirst(config, "extra");
          config.put("discovery", elsewhere.address());
          ObjectNode settings = settings(config);
          switch (fault) {
            case "no caps" -> settings.putObject("caps");
            case "aim" -> ((ObjectNode) classes(config).get(0)).put("aim-us", 0);
            case "worth" -> ((ObjectNode) classes(config).get(1)).put("worth", -1);
            case "names" -> ((ObjectNode) classes(config).get(1)).put("name", "pay");
            case "sockets" -> ((ObjectNode) config.get("limits")).put("sockets", 3);
            case "listen" -> config.put("listen", "127.0.0.1:1");
            case "me" -> settings.put("me", 1).put("group-size", 2);
            case "locality" -> settings.put("locality", 1);
            case "zones" -> settings.put("locality", 0).putArray("zones").add("b");
            case "not live" -> config.remove("live_settings");
            case "version" -> ((ObjectNode) config.get("live_settings")).put("version", "42");
            default -> {}
          }
        });
    String text = Files.readString(file);
    switch (fault) {
      case "half" -> Files.writeString(file, text.substring(0, text.length() / 2));
      case "twice" -> Files.writeString(file, text + text);
      case "", "{", "{}" -> Files.writeString(file, fault);
      default -> {}
    }
    fixture.agent.reload(file);
    // The agent's own zone is missing as well, so its name differs, which is checked first.
    if (fault.equals("zones")) {
      awaitLogged("settings: version 42 refused: locality cannot change while the agent runs");
    } else {
      awaitLogged(line);
    }
    assertEquals(41, versionInForce());
    assertEquals(400, status("extra"));
    for (String type : List.of("lookup", "pay", "order")) {
      assertEquals(200, fixture.call(type).status(), type);
    }
    // A truncated or malformed file contains no readable address of discovery.
    if (text.equals(Files.readString(file))) {
      LoopbackCluster.await(() -> !elsewhere.requests.isEmpty());
    } else {
      assertEquals(0, elsewhere.requests.size());
    }
    applyVersion(44, config -> insertFirst(config, "extra"));
    assertEquals(200, status("extra"));
    assertEquals(1, logged().lines().filter(each -> each.contains(" in force, was ")).count());
  }

  @Test
  void sameVersionOnlyMovesDiscovery() throws Exception {
    ScriptedPeer server = fixture.server(SERVES);
    ScriptedPeer elsewhere = fixture.peer((message, socket) -> {});
    fixture.start();
    write(41, config -> config.put("discovery", elsewhere.address()).put("seed", "77"));
    fixture.agent.reload(file);
    LoopbackCluster.await(() -> !elsewhere.requests.isEmpty());
    assertEquals(200, fixture.call("lookup").status());
    assertEquals(1, server.requests.size());
    assertFalse(logged().contains("refused: "), logged());
  }

  @Test
  void withoutLiveSettingsOnlyDiscoveryReloads() throws Exception {
    fixture.config.remove("live_settings");
    fixture.server(SERVES);
    ScriptedPeer elsewhere = fixture.peer((message, socket) -> {});
    fixture.start();
    fixture.config.putObject("live_settings").put("check_ms", 10);
    write(
        42,
        config -> {
          insertFirst(config, "extra");
          config.put("discovery", elsewhere.address());
        });
    fixture.agent.reload(file);
    LoopbackCluster.await(() -> !elsewhere.requests.isEmpty());
    assertEquals(400, status("extra"));
    assertNull(health().header("Settings-Version"));
    assertEquals("", health().text());
    assertFalse(logged().contains("settings: "));
    assertTrue(
        Thread.getAllStackTraces().keySet().stream()
            .noneMatch(each -> each.getName().equals("config")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"version\":-1}",
        "{\"version\":4.5}",
        "{\"version\":1,\"check_ms\":-5}",
        "{\"version\":1,\"check_ms\":5}",
        "{\"version\":1,\"check_ms\":\"10\"}",
        "null",
        "7"
      })
  void unusableLiveSettingsPreventStart(String live) throws Exception {
    Files.writeString(file, fixture.config.toString().replace("{\"version\":41}", live));
    String message =
        assertThrows(IllegalArgumentException.class, () -> AgentConfig.read(file)).getMessage();
    assertTrue(message.matches("config: live_settings\\.\\S+ has an unusable value: .*"), message);
  }
}
