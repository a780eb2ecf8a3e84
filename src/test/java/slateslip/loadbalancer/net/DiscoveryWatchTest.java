package slateslip.loadbalancer.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.DefaultLoadBalancer;
import slateslip.loadbalancer.LoadBalancer;

/**
 * A discovery that has to be asked, and what fails of its calls, over loopback sockets. The
 * module's waits are noted and left out: the order of events alone decides.
 */
class DiscoveryWatchTest {
  /** The module's token for the time of the next call. */
  private static final long TIMER_ASK = -3;

  /** So long after discovery had it and could be reached, a change counts as told. */
  private static final long NOTIFIED_MICROS = 6_000_000;

  private static final ScriptedPeer.Script REFUSES =
      (message, socket) -> ScriptedPeer.respond(socket, 503, "", "");
  private static final ScriptedPeer.Script RESETS = (message, socket) -> ScriptedPeer.reset(socket);

  /** The module's waits before each call, microseconds. */
  private final List<Long> waits = new CopyOnWriteArrayList<>();

  private LoopbackCluster fixture;
  private ScriptedPeer drained;
  private ScriptedPeer other;

  @BeforeEach
  void set() throws IOException {
    fixture = new LoopbackCluster();
    ((ObjectNode) fixture.config.get("settings")).put("discovery", "subscribe");
    drained = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "drained"));
    other = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "other"));
  }

  @AfterEach
  void strike() throws IOException {
    fixture.close();
  }

  /** The usual module, whose waits before it asks discovery are noted and over at once. */
  private LoadBalancer hurried(Agent agent) {
    var actions =
        (LoadBalancer.Actions)
            Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(),
                new Class<?>[] {LoadBalancer.Actions.class},
                (proxy, method, details) -> {
                  if (method.getName().equals("timer") && details[0].equals(TIMER_ASK)) {
                    waits.add((Long) details[1]);
                    agent.timer(TIMER_ASK, 0);
                    return null;
                  }
                  return method.invoke(agent, details);
                });
    return new DefaultLoadBalancer(AgentConfig.of(fixture.config).settings(), 1, 0, actions);
  }

  private List<String> requested(ScriptedPeer discovery) {
    return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
  }

  private ScriptedPeer.Script drain() {
    return LoopbackCluster.delta(5, LoopbackCluster.endpoint(1, drained.address(), "Terminating"));
  }

  private void assertDrainKnown(ScriptedPeer discovery) throws IOException {
    LoopbackCluster.await(
        () -> requested(discovery).stream().anyMatch(each -> each.contains("since=5&")));
    int before = drained.requests.size();
    for (int i = 0; i < 5; i++) {
      assertEquals("other", fixture.call("lookup").text());
    }
    assertEquals(before, drained.requests.size());
  }

  /** Any two waits in a row leave a second for the call's answer. */
  private void assertWaitsInTime() {
    for (int i = 1; i + 1 < waits.size(); i++) { // the first is before the first call of all
      long both = waits.get(i) + waits.get(i + 1);
      assertTrue(both <= NOTIFIED_MICROS - TimeUnit.SECONDS.toMicros(1), waits.toString());
    }
  }

  /**
   * Failed before: a list and then a watch, two calls of each agent at a discovery that all call at
   * once.
   */
  @Test
  void firstCallWatchesFromKnownVersion() throws Exception {
    ((ObjectNode) fixture.config.get("known")).put("index", 3);
    fixture.start(this::hurried);
    fixture.update.add(drain());
    assertDrainKnown(fixture.discovery);
    assertTrue(
        requested(fixture.discovery).get(0).contains("since=3&"),
        requested(fixture.discovery).toString());
    assertTrue(requested(fixture.discovery).stream().noneMatch(each -> each.equals("/v1/servers")));
  }

  @Test
  void anAgentThatKnowsNoServersFetchesTheWholeListFirst() throws Exception {
    ((ObjectNode) fixture.config.get("known")).putArray("endpoints");
    fixture.start(this::hurried);
    LoopbackCluster.await(
        () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
    assertEquals("/v1/servers", requested(fixture.discovery).get(0));
  }

  /** Guards against changes missed for ever where discovery's versions have begun anew. */
  @Test
  void aVersionBeforeTheOneHeldMakesItFetchTheWholeList() throws Exception {
    ((ObjectNode) fixture.config.get("known")).put("index", 7);
    fixture.update.add(LoopbackCluster.delta(4));
    fixture.start(this::hurried);
    LoopbackCluster.await(() -> requested(fixture.discovery).size() >= 3);
    assertTrue(requested(fixture.discovery).get(0).contains("since=7&"));
    assertEquals("/v1/servers", requested(fixture.discovery).get(1));
  }

  @Test
  void changeIsRecognizedAfterRejectedAttempts() throws Exception {
    fixture.update.addAll(List.of(REFUSES, REFUSES, RESETS, REFUSES, drain()));
    fixture.start(this::hurried);
    assertDrainKnown(fixture.discovery);
    assertEquals(1 + 4, waits.size(), "one before the first call and one after each that failed");
    assertWaitsInTime();
  }

  /**
   * The first wait after a call that hung, if the next one is refused, ends before the change
   * counts as told.
   */
  @Test
  void aChangeIsKnownAfterACallThatHungAndARefusedOne() throws Exception {
    fixture.update.addAll(List.of((message, socket) -> {}, REFUSES, drain()));
    fixture.start(this::hurried);
    assertDrainKnown(fixture.discovery);
    assertEquals(2, waits.size(), "the call that hung is made again with no wait of the module's");
    long found =
        TimeUnit.MILLISECONDS.toMicros(
            Discovery.WATCH_TIMEOUT_MS + Discovery.INACTIVITY_TIMEOUT_MS);
    assertTrue(found + waits.get(1) <= NOTIFIED_MICROS, found + " and " + waits);
  }

  /**
   * Failed before: asked for as soon as the module was made, the newer list could come first and be
   * undone.
   */
  @Test
  void knownListPrecedesDiscovery() throws Exception {
    List<Object> lists = new CopyOnWriteArrayList<>();
    Function<Agent, LoadBalancer> overheard =
        fixture.overheard(
            (event, details) -> {
              if (event.equals("servers")) {
                lists.add(details[1]);
              }
            });
    fixture.agent =
        Agent.createUnstarted(
            AgentConfig.of(fixture.config),
            agent -> {
              agent.watchServers();
              return overheard.apply(agent);
            });
    for (int i = 0; i < 100; i++) {
      fixture.agent.trackedServers(); // a turn of the loop each: time enough for a call
    }
    assertEquals(List.of(), requested(fixture.discovery));
    fixture.update.add(drain());
    fixture.agent.startAsync();
    assertDrainKnown(fixture.discovery);
    assertEquals(List.of(LoadBalancer.ListKind.CACHED, LoadBalancer.ListKind.DELTA), lists);
  }

  /** Failed before: it was told as a closed connection, each time it was asked for again. */
  @Test
  void aListThatCannotBeTakenIsToldWithItsCause() throws Exception {
    fixture.update.addAll(
        List.of(
            (message, socket) ->
                ScriptedPeer.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + (8 << 20) + "\r\n\r\n{"),
            drain()));
    PrintStream usual = System.err;
    var log = new ByteArrayOutputStream();
    System.setErr(new PrintStream(log, true));
    try {
      fixture.start(this::hurried);
      assertDrainKnown(fixture.discovery);
    } finally {
      System.setErr(usual);
    }
    assertTrue(
        log.toString(UTF_8)
            .lines()
            .anyMatch(
                each ->
                    each.startsWith("discovery: connection error: ")
                        && each.contains("TooLongHttpContentException")),
        log.toString(UTF_8));
    assertEquals(2, waits.size(), "before the first call and after the one that failed");
  }

  /** Failed before: the end of the connection that ended the list counted as a call that failed. */
  @Test
  void listWithoutLengthEndsWithConnection() throws Exception {
    fixture.update.add(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n\r\n{\"index\":5,\"snapshot\":false,\"endpoints\":["
                  + LoopbackCluster.endpoint(1, drained.address(), "Terminating")
                  + "]}");
          socket.close();
        });
    fixture.start(this::hurried);
    assertDrainKnown(fixture.discovery);
    assertEquals(1, waits.size(), "before the first call alone");
  }

  @Test
  void aChangeIsKnownOnceDiscoveryIsBack() throws Exception {
    int port = fixture.discovery.listener.getLocalPort();
    fixture.discovery.close();
    fixture.start(this::hurried);
    LoopbackCluster.await(() -> waits.size() >= 8);
    ScriptedPeer back =
        new ScriptedPeer(
            port,
            (message, socket) -> {
              if (message.target().contains("since=0&")) {
                drain().handle(message, socket);
              }
            });
    fixture.peers.add(back);
    assertDrainKnown(back);
    assertTrue(other.requests.size() >= 5);
    assertWaitsInTime();
  }
}
