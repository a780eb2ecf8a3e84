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
 * Tests a discovery service that the agent polls, and failures of its calls, over loopback sockets.
 * The delays of the load balancer are recorded and skipped, so that only the order of events
 * matters.
 */
class DiscoveryWatchTest {
  /** The load balancer's timer token for the next discovery call. */
  private static final long TIMER_POLL = -3;

  /**
   * The time after a change, or after the return of discovery, from which the protocol regards an
   * agent as informed of the change.
   */
  private static final long INFORMED_MICROS = 6_000_000;

  private static final ScriptedPeer.Script REFUSES =
      (message, socket) -> ScriptedPeer.respond(socket, 503, "", "");
  private static final ScriptedPeer.Script RESETS = (message, socket) -> ScriptedPeer.reset(socket);

  /** The delays, in microseconds, that the load balancer requested before its discovery calls. */
  private final List<Long> delays = new CopyOnWriteArrayList<>();

  private LoopbackCluster fixture;
  private ScriptedPeer drained;
  private ScriptedPeer other;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
    ((ObjectNode) fixture.config.get("settings")).put("discovery", "subscribe");
    drained = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "drained"));
    other = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "other"));
  }

  @AfterEach
  void tearDown() throws IOException {
    fixture.close();
  }

  /**
   * Creates the usual load balancer, except that its delays before discovery calls are recorded and
   * expire at once.
   */
  private LoadBalancer withoutDelays(Agent agent) {
    var actions =
        (LoadBalancer.Actions)
            Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(),
                new Class<?>[] {LoadBalancer.Actions.class},
                (proxy, method, arguments) -> {
                  if (method.getName().equals("timer") && arguments[0].equals(TIMER_POLL)) {
                    delays.add((Long) arguments[1]);
                    agent.timer(TIMER_POLL, 0);
                    return null;
                  }
                  return method.invoke(agent, arguments);
                });
    return new DefaultLoadBalancer(AgentConfig.of(fixture.config).settings(), 1, 0, actions);
  }

  private List<String> requested(ScriptedPeer discovery) {
    return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
  }

  private ScriptedPeer.Script drain() {
    return LoopbackCluster.delta(5, LoopbackCluster.endpoint(1, drained.address(), "Terminating"));
  }

  private void assertDrainApplied(ScriptedPeer discovery) throws IOException {
    LoopbackCluster.await(
        () -> requested(discovery).stream().anyMatch(each -> each.contains("since=5&")));
    int before = drained.requests.size();
    for (int i = 0; i < 5; i++) {
      assertEquals("other", fixture.call("lookup").text());
    }
    assertEquals(before, drained.requests.size());
  }

  /**
   * Asserts that the sum of any two consecutive delays leaves a second for the response to the
   * call.
   */
  private void assertDelaysWithinLimit() {
    for (int i = 1; i + 1 < delays.size(); i++) { // The first delay precedes the first call.
      long both = delays.get(i) + delays.get(i + 1);
      assertTrue(both <= INFORMED_MICROS - TimeUnit.SECONDS.toMicros(1), delays.toString());
    }
  }

  /**
   * Guards against two calls of each agent, for the list and then for changes, at a discovery
   * service that all agents call at the same time.
   */
  @Test
  void firstCallWatchesFromKnownVersion() throws Exception {
    ((ObjectNode) fixture.config.get("known")).put("index", 3);
    fixture.start(this::withoutDelays);
    fixture.watchResponses.add(drain());
    assertDrainApplied(fixture.discovery);
    assertTrue(
        requested(fixture.discovery).get(0).contains("since=3&"),
        requested(fixture.discovery).toString());
    assertTrue(requested(fixture.discovery).stream().noneMatch(each -> each.equals("/v1/servers")));
  }

  @Test
  void emptyKnownListCausesFullFetch() throws Exception {
    ((ObjectNode) fixture.config.get("known")).putArray("endpoints");
    fixture.start(this::withoutDelays);
    LoopbackCluster.await(
        () -> requested(fixture.discovery).stream().anyMatch(each -> each.contains("since")));
    assertEquals("/v1/servers", requested(fixture.discovery).get(0));
  }

  /**
   * Guards against changes that are missed permanently after the discovery service has restarted
   * its version numbers.
   */
  @Test
  void lowerVersionCausesFullFetch() throws Exception {
    ((ObjectNode) fixture.config.get("known")).put("index", 7);
    fixture.watchResponses.add(LoopbackCluster.delta(4));
    fixture.start(this::withoutDelays);
    LoopbackCluster.await(() -> requested(fixture.discovery).size() >= 3);
    assertTrue(requested(fixture.discovery).get(0).contains("since=7&"));
    assertEquals("/v1/servers", requested(fixture.discovery).get(1));
  }

  @Test
  void changeIsRecognizedAfterRejectedAttempts() throws Exception {
    fixture.watchResponses.addAll(List.of(REFUSES, REFUSES, RESETS, REFUSES, drain()));
    fixture.start(this::withoutDelays);
    assertDrainApplied(fixture.discovery);
    assertEquals(
        1 + 4, delays.size(), "one delay before the first call and one after each failed call");
    assertDelaysWithinLimit();
  }

  /**
   * If a call is unresponsive and the next call is rejected, the following delay must end before
   * the protocol regards the agent as informed of the change.
   */
  @Test
  void changeIsAppliedAfterUnresponsiveAndRejectedCalls() throws Exception {
    fixture.watchResponses.addAll(List.of((message, socket) -> {}, REFUSES, drain()));
    fixture.start(this::withoutDelays);
    assertDrainApplied(fixture.discovery);
    assertEquals(
        2, delays.size(), "the timed-out call is repeated without a delay of the load balancer");
    long timedOutMicros =
        TimeUnit.MILLISECONDS.toMicros(
            Discovery.WATCH_TIMEOUT_MS + Discovery.INACTIVITY_TIMEOUT_MS);
    assertTrue(
        timedOutMicros + delays.get(1) <= INFORMED_MICROS, timedOutMicros + " and " + delays);
  }

  /**
   * Guards against an older list that replaces a newer one: the load balancer asks for discovery as
   * soon as it is created, so the list from discovery could arrive before the list from the
   * configuration.
   */
  @Test
  void knownListPrecedesDiscovery() throws Exception {
    List<Object> lists = new CopyOnWriteArrayList<>();
    Function<Agent, LoadBalancer> intercepted =
        fixture.intercepted(
            (event, arguments) -> {
              if (event.equals("servers")) {
                lists.add(arguments[1]);
              }
            });
    fixture.agent =
        Agent.createUnstarted(
            AgentConfig.of(fixture.config),
            agent -> {
              agent.watchServers();
              return intercepted.apply(agent);
            });
    for (int i = 0; i < 100; i++) {
      // Each call takes a turn of the event loop, which leaves time for a discovery call.
      fixture.agent.trackedServers();
    }
    assertEquals(List.of(), requested(fixture.discovery));
    fixture.watchResponses.add(drain());
    fixture.agent.startAsync();
    assertDrainApplied(fixture.discovery);
    assertEquals(List.of(LoadBalancer.ListKind.CACHED, LoadBalancer.ListKind.DELTA), lists);
  }

  /**
   * Guards against a response that cannot be received and is reported as a closed connection at
   * every retry.
   */
  @Test
  void oversizedListIsLoggedWithCause() throws Exception {
    fixture.watchResponses.addAll(
        List.of(
            (message, socket) ->
                ScriptedPeer.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + (8 << 20) + "\r\n\r\n{"),
            drain()));
    PrintStream usual = System.err;
    var log = new ByteArrayOutputStream();
    System.setErr(new PrintStream(log, true));
    try {
      fixture.start(this::withoutDelays);
      assertDrainApplied(fixture.discovery);
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
    assertEquals(2, delays.size(), "one delay before the first call and one after the failed call");
  }

  /**
   * Guards against a response without a length whose end, the close of the connection, counts as a
   * failed call.
   */
  @Test
  void listWithoutLengthEndsWithConnection() throws Exception {
    fixture.watchResponses.add(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n\r\n{\"index\":5,\"snapshot\":false,\"endpoints\":["
                  + LoopbackCluster.endpoint(1, drained.address(), "Terminating")
                  + "]}");
          socket.close();
        });
    fixture.start(this::withoutDelays);
    assertDrainApplied(fixture.discovery);
    assertEquals(1, delays.size(), "only the delay before the first call");
  }

  @Test
  void changeIsAppliedOnceDiscoveryReturns() throws Exception {
    int port = fixture.discovery.listener.getLocalPort();
    fixture.discovery.close();
    fixture.start(this::withoutDelays);
    LoopbackCluster.await(() -> delays.size() >= 8);
    ScriptedPeer back =
        new ScriptedPeer(
            port,
            (message, socket) -> {
              if (message.target().contains("since=0&")) {
                drain().handle(message, socket);
              }
            });
    fixture.peers.add(back);
    assertDrainApplied(back);
    assertTrue(other.requests.size() >= 5);
    assertDelaysWithinLimit();
  }
}
