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

/** Settings with a version, taken over while the agent runs, over loopback sockets. */
class LiveSettingsTest extends LiveSettingsFixture {
  @Test
  void classesReloadByName() throws Exception {
    ScriptedPeer server = fixture.server(SERVES);
    fixture.start();
    assertEquals(400, status("extra"));
    assertEquals("settings: version 41\n", health().text());
    take(42, config -> addFirst(config, "extra"));
    assertEquals(200, status("extra"));
    for (String type : List.of("lookup", "pay", "order")) {
      assertEquals(200, fixture.call(type).status(), "each is what it was: " + type);
    }
    take(43, config -> classes(config).remove(0));
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

  /** Guards against the class of one list being taken for what has its place in the next. */
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
    LoopbackCluster.await(() -> inForce() == 41); // the heads have been read before this
    take(42, config -> classes(config).remove(1));
    ScriptedPeer.write(halves[0], "body");
    ScriptedPeer.write(halves[1], "body");
    assertEquals(400, ScriptedPeer.read(halves[0].getInputStream()).status());
    assertEquals(200, ScriptedPeer.read(halves[1].getInputStream()).status());
    assertEquals("/order?q=1", server.requests.get(0).target());
  }

  @Test
  void underLoadNoRequestIsLostOverChangesInTurn() throws Exception {
    fixture.server(SERVES);
    fixture.server(SERVES);
    fixture.start();
    AtomicBoolean over = new AtomicBoolean();
    AtomicInteger served = new AtomicInteger();
    Object requests = new Object();
    List<String> others = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (String type : List.of("lookup", "pay", "order")) {
      Socket socket = fixture.dial();
      clients.add(
          ScriptedPeer.daemon(
              () -> {
                while (!over.get()) {
                  String request;
                  synchronized (requests) {
                    request = fixture.request(type, 8000, type.equals("lookup") ? "" : "body");
                  }
                  ScriptedPeer.Message response = LoopbackCluster.exchange(socket, request);
                  if (response.status() == 200) {
                    served.incrementAndGet();
                  } else {
                    synchronized (others) {
                      others.add(type + " " + response.first());
                    }
                  }
                }
              }));
    }
    for (int version = 42; version < 72; version++) {
      int before = served.get();
      boolean first = version % 2 == 0;
      take(
          version,
          config -> {
            if (first) {
              addFirst(config, "extra");
              settings(config).putArray("zones").add("b").add("a");
              settings(config).put("locality", 1).put("group-size", 7);
            }
          });
      LoopbackCluster.await(() -> served.get() >= before + 10 || !others.isEmpty());
    }
    over.set(true);
    for (Thread client : clients) {
      client.join();
    }
    assertEquals(List.of(), others);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aClassMadeUnsafeWhileItsRequestIsOutIsNotSentAgain(boolean changed) throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    AtomicBoolean first = new AtomicBoolean(true);
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (first.getAndSet(false)) {
              go.await();
              ScriptedPeer.reset(socket);
            } else {
              ScriptedPeer.respond(socket, 200, "", "served");
            }
          });
    }
    fixture.start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    LoopbackCluster.await(() -> fixture.arrived() == 1);
    if (changed) {
      take(42, config -> ((ObjectNode) classes(config).get(0)).put("semantics", "unsafe"));
    }
    go.countDown();
    assertEquals(changed ? 502 : 200, ScriptedPeer.read(client.getInputStream()).status());
    assertEquals(changed ? 1 : 2, fixture.arrived());
  }

  @Test
  void connectionsAreKeptAndDialledByTheNewSettings() throws Exception {
    ((ObjectNode) settings(fixture.config).get("caps")).put("probes", false); // they dial, too
    ScriptedPeer server = fixture.server(SERVES);
    fixture.start();
    for (int i = 0; i < 3; i++) {
      assertEquals(200, fixture.call("lookup").status());
      Thread.sleep(60); // over the rest of a connection
    }
    int retained = server.sockets.size();
    take(42, config -> ((ObjectNode) settings(config).get("caps")).put("idle-close-us", 1000));
    for (int i = 0; i < 3; i++) {
      assertEquals(200, fixture.call("lookup").status());
      Thread.sleep(60);
    }
    assertEquals(retained + 3, server.sockets.size(), "none is kept for a millisecond");
    take(43, config -> ((ObjectNode) config.get("limits")).put("sockets", 64));
    List<Socket> many = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      many.add(fixture.dial());
      ScriptedPeer.write(many.get(i), fixture.request("order", 8000, "body"));
    }
    for (Socket each : many) {
      assertEquals(200, ScriptedPeer.read(each.getInputStream()).status(), "in their turn");
    }
  }

  @Test
  void listsAreReadByTheNamesOfTheNewZones() throws Exception {
    fixture.server(SERVES);
    fixture.start();
    ScriptedPeer other =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "other"));
    take(
        42,
        config -> {
          settings(config).putArray("zones").add("new").add("b").add("a");
          settings(config).put("locality", 2);
        });
    take(
        43,
        config -> { // no server is in the new one: the listed one has moved with its zone
          settings(config).putArray("zones").add("b").add("a");
          settings(config).put("locality", 1);
        });
    take(44, config -> settings(config).putArray("zones").add("a").add("new"));
    fixture.update.add(
        LoopbackCluster.delta(
            1,
            LoopbackCluster.endpoint(1, fixture.servers.get(0).address(), "Gone"),
            LoopbackCluster.endpoint(2, other.address(), "Ready")
                .put("zone", "new"))); // unknown before
    LoopbackCluster.await(() -> fixture.update.isEmpty());
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
  void theTallyNamesTheVersionAndThePageShowsTheLines() throws Exception {
    RequestStatistics statistics = new RequestStatistics();
    statistics.setSettingsSummary(new LiveSettings().summary(AgentConfig.of(fixture.config)));
    statistics.recordCompleted(RequestStatistics.Disposition.SERVED, 1);
    String notified = "settings 41 (taken 0, refused 0)";
    assertTrue(statistics.takeLines(0, 0).get(0).endsWith("; " + notified));
    fixture.start();
    take(42, config -> {});
    write(40, config -> {});
    fixture.agent.reload(file);
    awaitLogged("settings: version 40 refused");
    String page = figures(Files.readString(Path.of("README.md")).replaceAll("\\s+", " "));
    assertTrue(page.contains(figures(notified)));
    List<String> lines = logged().lines().filter(each -> each.startsWith("settings: ")).toList();
    assertEquals(3, lines.size());
    for (String line : lines) {
      assertTrue(page.contains("`" + figures(line) + "`"), line);
    }
  }

  private static String figures(String line) {
    return line.replaceAll("[0-9.]+", "N");
  }
}
