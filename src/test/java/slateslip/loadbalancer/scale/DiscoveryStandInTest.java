package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.scale.ServerEntry.Status;

class DiscoveryStandInTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<Long> acknowledgedVersions = new LinkedBlockingQueue<>();
  private final DiscoveryStandIn discovery =
      new DiscoveryStandIn(
          group,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          new DiscoveryStandIn.Options(
              7,
              3,
              null,
              List.of(),
              false,
              (agent, version, at) -> acknowledgedVersions.add(version)));
  private final HttpClient client = HttpClient.newHttpClient();

  @AfterEach
  void shutDown() {
    discovery.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static ServerEntry entry(String name, Status status) {
    return new ServerEntry(name, "127.0.0.1:3000", "a", "small", 0, status, 1, 0);
  }

  private void assertResponse(String expected, String query) {
    assertEquals(expected, describe(getServers(query).join()));
  }

  private CompletableFuture<JsonNode> getServers(String query) {
    var at =
        URI.create("http://127.0.0.1:" + discovery.address().getPort() + "/v1/servers" + query);
    return client
        .sendAsync(HttpRequest.newBuilder(at).build(), BodyHandlers.ofString())
        .thenApply(response -> Json.read(response.body()));
  }

  private static String describe(JsonNode list) {
    StringBuilder description =
        new StringBuilder(list.get("index").asText())
            .append(list.get("snapshot").asBoolean() ? " snapshot" : " delta");
    list.get("endpoints")
        .forEach(
            each ->
                description
                    .append(' ')
                    .append(each.get("name").asText())
                    .append('=')
                    .append(each.get("status").asText()));
    return description.toString();
  }

  @Test
  void responseIsDeltaSinceVersionOrSnapshot() {
    discovery.replace(List.of(entry("a", Status.READY), entry("b", Status.READY)));
    discovery.change(List.of(entry("a", Status.TERMINATING)));
    discovery.change(List.of(entry("a", Status.GONE), entry("c", Status.READY)));

    assertResponse("10 snapshot b=Ready c=Ready", "");
    assertResponse("10 delta a=Gone c=Ready", "?since=8&timeout_ms=1000");
    // Version 7 is older than the change log.
    assertResponse("10 snapshot b=Ready c=Ready", "?since=7&timeout_ms=1000");
    // Version 11 does not exist yet.
    assertResponse("10 snapshot b=Ready c=Ready", "?since=11&timeout_ms=1000");
    assertResponse("10 delta", "?since=10&timeout_ms=1");
    discovery.change(List.of(entry("b", Status.GONE)));
    // Version 8 is no longer in the bounded change log.
    assertResponse("11 snapshot c=Ready", "?since=8&timeout_ms=1000");
    assertResponse("11 delta a=Gone c=Ready b=Gone", "?since=9&timeout_ms=1");
  }

  @Test
  void watchWaitsForUpdateAndAcknowledgesIt() throws Exception {
    var watch = getServers("?since=7&timeout_ms=60000");
    assertEquals(7, acknowledgedVersions.take());
    assertEquals(8, discovery.change(List.of(entry("a", Status.READY), entry("b", Status.READY))));
    assertEquals("8 delta a=Ready b=Ready", describe(watch.join()));
    getServers("?since=8&timeout_ms=1").join();
    assertEquals(8, acknowledgedVersions.take());
    var counts = discovery.counts();
    assertEquals(
        List.of(2L, 0L, 0L, 1L, 1L, 0L),
        List.of(
            counts.calls(),
            counts.watching(),
            counts.wholes(),
            counts.deltas(),
            counts.empties(),
            counts.refused()));
    assertEquals(
        counts.bytesOut(),
        discovery.countsByAgent().values().stream()
            .mapToLong(DiscoveryStandIn.Counts::bytesOut)
            .sum());
  }

  @Test
  void crashResetsWatchesAndKeepsVersion() throws Exception {
    var watch = getServers("?since=7&timeout_ms=60000");
    acknowledgedVersions.take();
    discovery.down();
    assertThrows(RuntimeException.class, watch::join);
    var connect = assertThrows(RuntimeException.class, () -> getServers("").join());
    assertTrue(
        connect.getCause() instanceof IOException,
        () -> "expected a refused connection: " + connect);
    discovery.up();
    discovery.restore(40, List.of(entry("a", Status.READY)));
    assertResponse("40 snapshot a=Ready", "?since=7&timeout_ms=60000");
    assertResponse("40 delta", "?since=40&timeout_ms=1");
  }

  @Test
  void disconnectedIsUnresponsiveUntilReset() throws Exception {
    // A plain socket, because HttpClient would resend the request by itself after the reset.
    try (Socket watch =
        new Socket(InetAddress.getLoopbackAddress(), discovery.address().getPort())) {
      String call = "GET /v1/servers?since=7&timeout_ms=60000 HTTP/1.1\r\nHost: d\r\n\r\n";
      watch.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
      acknowledgedVersions.take();
      discovery.disconnect();
      discovery.change(List.of(entry("a", Status.READY)));
      discovery.reachable();
      assertThrows(
          IOException.class,
          () -> watch.getInputStream().read(),
          "the connection is reset before any byte of a response");
    }
    assertResponse("8 delta a=Ready", "?since=7&timeout_ms=60000");
  }

  @Test
  void killedProcessRestartsWithSameAddressAndVersion() throws Exception {
    List<ServerEntry> servers = List.of(entry("a", Status.READY), entry("b", Status.READY));
    try (Children children = new Children()) {
      DiscoveryProcess first = new DiscoveryProcess(children, List.of());
      first.replace(servers);
      long version = first.change(List.of(entry("c", Status.READY))).get("version").asLong();
      first.kill();
      assertThrows(IOException.class, () -> first.ask("stats"));
      DiscoveryProcess second =
          new DiscoveryProcess(
              children, List.of("--down", "--listen", Addresses.text(first.address())));
      assertEquals(version, second.restore(version, servers));
      second.ask("up");
      assertEquals(first.address(), second.address());
      var counts = second.ask("stats");
      assertEquals(version, counts.get("version").asLong());
      assertEquals(0, counts.get("counts").get("calls").asLong());
      assertThrows(IOException.class, () -> second.ask("dance"));
    }
  }

  @Test
  void fixedCapacityServesInOrderAndRejectsLate() {
    long[] now = {0};
    List<String> did = new ArrayList<>();
    EmbeddedChannel host = new EmbeddedChannel();
    host.freezeTime();
    DelayedResponseQueue queue = new DelayedResponseQueue(host.eventLoop(), 3, 25, () -> now[0]);
    for (String name : List.of("a", "b", "c", "d")) {
      queue.add(
          new DelayedResponseQueue.Call() {
            @Override
            public long costNanos() {
              return 20;
            }

            @Override
            public void respond() {
              did.add(name + now[0]);
            }

            @Override
            public void refuse() {
              did.add(name + " refused");
            }
          });
    }
    for (int i = 0; i < 6; i++) {
      now[0] += 10;
      host.advanceTimeBy(10, TimeUnit.NANOSECONDS);
      host.runScheduledPendingTasks();
    }
    assertEquals(List.of("d refused", "a20", "b40", "c refused"), did);
  }
}
