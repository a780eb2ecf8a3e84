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
  private static final long TOLD_MICROS = 6_000_000;

  private static final ScriptedPeer.Script REFUSES =
      (message, socket) -> ScriptedPeer.answer(socket, 503, "", "");
  private static final ScriptedPeer.Script RESETS = (message, socket) -> ScriptedPeer.reset(socket);

  /** The module's waits before each call, microseconds. */
  private final List<Long> waits = new CopyOnWriteArrayList<>();

  private LoopbackCluster stage;
  private ScriptedPeer drained;
  private ScriptedPeer other;

  @BeforeEach
  void set() throws IOException {
    stage = new LoopbackCluster();
    ((ObjectNode) stage.config.get("settings")).put("discovery", "subscribe");
    drained = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "drained"));
    other = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "other"));
  }

  @AfterEach
  void strike() throws IOException {
    stage.close();
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
    return new DefaultLoadBalancer(AgentConfig.of(stage.config).settings(), 1, 0, actions);
  }

  private List<String> asked(ScriptedPeer discovery) {
    return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
  }

  private ScriptedPeer.Script drain() {
    return LoopbackCluster.delta(5, LoopbackCluster.endpoint(1, drained.address(), "Terminating"));
  }

  private void assertDrainKnown(ScriptedPeer discovery) throws IOException {
    LoopbackCluster.await(
        () -> asked(discovery).stream().anyMatch(each -> each.contains("since=5&")));
    int before = drained.requests.size();
    for (int i = 0; i < 5; i++) {
      assertEquals("other", stage.call("lookup").text());
    }
    assertEquals(before, drained.requests.size());
  }

  /** Any two waits in a row leave a second for the call's answer. */
  private void assertWaitsInTime() {
    for (int i = 1; i + 1 < waits.size(); i++) { // the first is before the first call of all
      long both = waits.get(i) + waits.get(i + 1);
      assertTrue(both <= TOLD_MICROS - TimeUnit.SECONDS.toMicros(1), waits.toString());
    }
  }

  /**
   * Failed before: a list and then a watch, two calls of each agent at a discovery that all call at
   * once.
   */
  @Test
  void theFirstCallIsAWatchForWhatIsNewerThanTheKnownList() throws Exception {
    ((ObjectNode) stage.config.get("known")).put("index", 3);
    stage.start(this::hurried);
    stage.news.add(drain());
    assertDrainKnown(stage.discovery);
    assertTrue(
        asked(stage.discovery).get(0).contains("since=3&"), asked(stage.discovery).toString());
    assertTrue(asked(stage.discovery).stream().noneMatch(each -> each.equals("/v1/servers")));
  }

  @Test
  void anAgentThatKnowsNoServersFetchesTheWholeListFirst() throws Exception {
    ((ObjectNode) stage.config.get("known")).putArray("endpoints");
    stage.start(this::hurried);
    LoopbackCluster.await(
        () -> asked(stage.discovery).stream().anyMatch(each -> each.contains("since")));
    assertEquals("/v1/servers", asked(stage.discovery).get(0));
  }

  /** Guards against changes missed for ever where discovery's versions have begun anew. */
  @Test
  void aVersionBeforeTheOneHeldMakesItFetchTheWholeList() throws Exception {
    ((ObjectNode) stage.config.get("known")).put("index", 7);
    stage.news.add(LoopbackCluster.delta(4));
    stage.start(this::hurried);
    LoopbackCluster.await(() -> asked(stage.discovery).size() >= 3);
    assertTrue(asked(stage.discovery).get(0).contains("since=7&"));
    assertEquals("/v1/servers", asked(stage.discovery).get(1));
  }

  @Test
  void aChangeIsKnownAfterARefusedFirstCallAndRefusedRepeats() throws Exception {
    stage.news.addAll(List.of(REFUSES, REFUSES, RESETS, REFUSES, drain()));
    stage.start(this::hurried);
    assertDrainKnown(stage.discovery);
    assertEquals(1 + 4, waits.size(), "one before the first call and one after each that failed");
    assertWaitsInTime();
  }

  /**
   * The first wait after a call that hung, if the next one is refused, ends before the change
   * counts as told.
   */
  @Test
  void aChangeIsKnownAfterACallThatHungAndARefusedOne() throws Exception {
    stage.news.addAll(List.of((message, socket) -> {}, REFUSES, drain()));
    stage.start(this::hurried);
    assertDrainKnown(stage.discovery);
    assertEquals(2, waits.size(), "the call that hung is made again with no wait of the module's");
    long found = TimeUnit.MILLISECONDS.toMicros(Discovery.WATCH_MS + Discovery.SILENT_MS);
    assertTrue(found + waits.get(1) <= TOLD_MICROS, found + " and " + waits);
  }

  /**
   * Failed before: asked for as soon as the module was made, the newer list could come first and be
   * undone.
   */
  @Test
  void theKnownListComesBeforeDiscoverysAlsoWhereTheModuleAsksAtOnce() throws Exception {
    List<Object> lists = new CopyOnWriteArrayList<>();
    Function<Agent, LoadBalancer> overheard =
        stage.overheard(
            (event, details) -> {
              if (event.equals("servers")) {
                lists.add(details[1]);
              }
            });
    stage.agent =
        Agent.made(
            AgentConfig.of(stage.config),
            agent -> {
              agent.watchServers();
              return overheard.apply(agent);
            });
    for (int i = 0; i < 100; i++) {
      stage.agent.kept(); // a turn of the loop each: time enough for a call
    }
    assertEquals(List.of(), asked(stage.discovery));
    stage.news.add(drain());
    stage.agent.beginSoon();
    assertDrainKnown(stage.discovery);
    assertEquals(List.of(LoadBalancer.ListKind.CACHED, LoadBalancer.ListKind.DELTA), lists);
  }

  /** Failed before: it was told as a closed connection, each time it was asked for again. */
  @Test
  void aListThatCannotBeTakenIsToldWithItsCause() throws Exception {
    stage.news.addAll(
        List.of(
            (message, socket) ->
                ScriptedPeer.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + (8 << 20) + "\r\n\r\n{"),
            drain()));
    PrintStream usual = System.err;
    var log = new ByteArrayOutputStream();
    System.setErr(new PrintStream(log, true));
    try {
      stage.start(this::hurried);
      assertDrainKnown(stage.discovery);
    } finally {
      System.setErr(usual);
    }
    assertTrue(
        log.toString(UTF_8)
            .lines()
            .anyMatch(
                each ->
                    each.startsWith("discovery: broken: ")
                        && each.contains("TooLongHttpContentException")),
        log.toString(UTF_8));
    assertEquals(2, waits.size(), "before the first call and after the one that failed");
  }

  /** Failed before: the end of the connection that ended the list counted as a call that failed. */
  @Test
  void aListWithNoLengthEndsWithItsConnectionAndIsNoFailure() throws Exception {
    stage.news.add(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n\r\n{\"index\":5,\"snapshot\":false,\"endpoints\":["
                  + LoopbackCluster.endpoint(1, drained.address(), "Terminating")
                  + "]}");
          socket.close();
        });
    stage.start(this::hurried);
    assertDrainKnown(stage.discovery);
    assertEquals(1, waits.size(), "before the first call alone");
  }

  @Test
  void aChangeIsKnownOnceDiscoveryIsBack() throws Exception {
    int port = stage.discovery.listener.getLocalPort();
    stage.discovery.close();
    stage.start(this::hurried);
    LoopbackCluster.await(() -> waits.size() >= 8);
    ScriptedPeer back =
        new ScriptedPeer(
            port,
            (message, socket) -> {
              if (message.target().contains("since=0&")) {
                drain().handle(message, socket);
              }
            });
    stage.peers.add(back);
    assertDrainKnown(back);
    assertTrue(other.requests.size() >= 5);
    assertWaitsInTime();
  }
}
