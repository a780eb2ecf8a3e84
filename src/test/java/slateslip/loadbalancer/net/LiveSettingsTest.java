package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests settings with a version that are applied while the agent runs, over loopback sockets. */
class LiveSettingsTest extends LiveSettingsFixture {
  @Test
  void classesReloadByName() throws Exception {
    ScriptedPeer server = fixture.server(SERVES);
    fixture.start();
    assertEquals(400, status("extra"));
    assertEquals("settings: version 41\n", health().text());
    applyVersion(42, config -> insertFirst(config, "extra"));
    assertEquals(200, status("extra"));
    for (String type : List.of("lookup", "pay", "order")) {
      assertEquals(200, fixture.call(type).status(), "the class is unchanged: " + type);
    }
    applyVersion(43, config -> classes(config).remove(0));
    assertEquals(400, status("lookup"));
    assertEquals(200, fixture.call("pay").status());
    assertEquals(5, server.requests.size());
    assertTrue(
        logged()
            .contains(
                "settings: version 42 in force, was 41 (classes 4, tenants 0, zones 2, kinds 1); "
                    + "read "),
        logged());
  }

  /**
   * Guards against a class of the old settings that is taken for the class at the same index of the
   * new settings.
   */
  @Test
  void bodyAfterReloadUsesNamedClass() throws Exception {
    ScriptedPeer server = fixture.server(SERVES);
    fixture.start();
    Socket[] halves = new Socket[2];
    for (int i = 0; i < 2; i++) {
      halves[i] = fixture.dial();
      String complete = fixture.request(i == 0 ? "pay" : "order", 8000, "body");
      ScriptedPeer.write(halves[i], complete.substring(0, complete.length() - 4));
    }
    // The response shows that the request heads have been read.
    LoopbackCluster.await(() -> versionInForce() == 41);
    applyVersion(42, config -> classes(config).remove(1));
    ScriptedPeer.write(halves[0], "body");
    ScriptedPeer.write(halves[1], "body");
    assertEquals(400, ScriptedPeer.read(halves[0].getInputStream()).status());
    assertEquals(200, ScriptedPeer.read(halves[1].getInputStream()).status());
    assertEquals("/order?q=1", server.requests.get(0).target());
  }

  @Test
  void changesUnderLoadLoseNoRequest() throws Exception {
    fixture.server(SERVES);
    fixture.server(SERVES);
    fixture.start();
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger served = new AtomicInteger();
    Object requests = new Object();
    List<String> failures = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (String type : List.of("lookup", "pay", "order")) {
      Socket socket = fixture.dial();
      clients.add(
          ScriptedPeer.daemon(
              () -> {
                while (!stopped.get()) {
                  String request;
                  synchronized (requests) {
                    request = fixture.request(type, 8000, type.equals("lookup") ? "" : "body");
                  }
                  ScriptedPeer.Message response = LoopbackCluster.exchange(socket, request);
                  if (response.status() == 200) {
                    served.incrementAndGet();
                  } else {
                    synchronized (failures) {
                      failures.add(type + " " + response.first());
                    }
                  }
                }
              }));
    }
    for (int version = 42; version < 72; version++) {
      int before = served.get();
      boolean first = version % 2 == 0;
      applyVersion(
          version,
          config -> {
            if (first) {
              insertFirst(config, "extra");
              settings(config).putArray("zones").add("b").add("a");
              settings(config).put("locality", 1).put("group-size", 7);
            }
          });
      LoopbackCluster.await(() -> served.get() >= before + 10 || !failures.isEmpty());
    }
    stopped.set(true);
    for (Thread client : clients) {
      client.join();
    }
    assertEquals(List.of(), failures);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestIsNotRetriedAfterItsClassBecomesUnsafe(boolean changed) throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    AtomicBoolean first = new AtomicBoolean(true);
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (first.getAndSet(false)) {
              release.await();
              ScriptedPeer.reset(socket);
            } else {
              ScriptedPeer.respond(socket, 200, "", "served");
            }
          });
    }
    fixture.start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    LoopbackCluster.await(() -> fixture.arrivedRequests() == 1);
    if (changed) {
      applyVersion(42, config -> ((ObjectNode) classes(config).get(0)).put("semantics", "unsafe"));
    }
    release.countDown();
    assertEquals(changed ? 502 : 200, ScriptedPeer.read(client.getInputStream()).status());
    assertEquals(changed ? 1 : 2, fixture.arrivedRequests());
  }

  @Test
  void newSettingsApplyToConnections() throws Exception {
    // Probes would open connections, too.
    ((ObjectNode) settings(fixture.config).get("caps")).put("probes", false);
    ScriptedPeer server = fixture.server(SERVES);
    fixture.start();
    for (int i = 0; i < 3; i++) {
      assertEquals(200, fixture.call("lookup").status());
      Thread.sleep(60); // This is longer than the reuse delay of a connection.
    }
    int retained = server.sockets.size();
    applyVersion(
        42, config -> ((ObjectNode) settings(config).get("caps")).put("idle-close-us", 1000));
    for (int i = 0; i < 3; i++) {
      assertEquals(200, fixture.call("lookup").status());
      Thread.sleep(60);
    }
    assertEquals(retained + 3, server.sockets.size(), "no connection stays idle for a millisecond");
    applyVersion(43, config -> ((ObjectNode) config.get("limits")).put("sockets", 64));
    List<Socket> many = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      many.add(fixture.dial());
      ScriptedPeer.write(many.get(i), fixture.request("order", 8000, "body"));
    }
    for (Socket each : many) {
      assertEquals(
          200,
          ScriptedPeer.read(each.getInputStream()).status(),
          "each request is served when a connection is free");
    }
  }

  @Test
  void serverListsUseNamesOfNewZones() throws Exception {
    fixture.server(SERVES);
    fixture.start();
    ScriptedPeer other =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "other"));
    applyVersion(
        42,
        config -> {
          settings(config).putArray("zones").add("new").add("b").add("a");
          settings(config).put("locality", 2);
        });
    applyVersion(
        43,
        // No server is in the zone "new", so this zone may be removed: the listed server has moved
        // with its zone.
        config -> {
          settings(config).putArray("zones").add("b").add("a");
          settings(config).put("locality", 1);
        });
    applyVersion(44, config -> settings(config).putArray("zones").add("a").add("new"));
    fixture.watchResponses.add(
        LoopbackCluster.delta(
            1,
            LoopbackCluster.endpoint(1, fixture.servers.get(0).address(), "Gone"),
            LoopbackCluster.endpoint(2, other.address(), "Ready")
                .put("zone", "new"))); // The first settings lack this zone.
    LoopbackCluster.await(() -> fixture.watchResponses.isEmpty());
    LoopbackCluster.await(
        () -> {
          try {
            return "other".equals(fixture.call("lookup").text());
          } catch (IOException e) {
            return false;
          }
        });
    write(45, config -> settings(config).putArray("zones").add("a"));
    fixture.agent.reload(file);
    awaitLogged("settings: version 45 refused: zones lacks new, which has servers; 44 stays");
  }

  @Test
  void tallyContainsVersionAndReadmeShowsLines() throws Exception {
    RequestStatistics statistics = new RequestStatistics();
    statistics.setSettingsSummary(new LiveSettings().summary(AgentConfig.of(fixture.config)));
    statistics.recordCompleted(RequestStatistics.Disposition.SERVED, 1);
    String summary = "settings 41 (taken 0, refused 0)";
    assertTrue(statistics.takeLines(0, 0).get(0).endsWith("; " + summary));
    fixture.start();
    applyVersion(42, config -> {});
    write(40, config -> {});
    fixture.agent.reload(file);
    awaitLogged("settings: version 40 refused");
    String page = withoutNumbers(Files.readString(Path.of("README.md")).replaceAll("\\s+", " "));
    assertTrue(page.contains(withoutNumbers(summary)));
    List<String> lines = logged().lines().filter(each -> each.startsWith("settings: ")).toList();
    assertEquals(3, lines.size());
    for (String line : lines) {
      assertTrue(page.contains("`" + withoutNumbers(line) + "`"), line);
    }
  }

  private static String withoutNumbers(String line) {
    return line.replaceAll("[0-9.]+", "N");
  }
}
