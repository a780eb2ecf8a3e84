package slateslip.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.protocol.Framing;

/**
 * Tests a single control agent on a loopback address: its HTTP interface, and invalid input at both
 * ports.
 */
class ControlPlaneTest {
  /**
   * Delay between two parts of a body. With this delay a body of a few hundred bytes arrives at
   * less than 4 KiB per second.
   */
  private static final long SLOW_BODY_NANOS = 500_000_000;

  private static final String CONFIG = "/config";
  private static final String INSTANCE = "/instances/i-1";

  @TempDir Path folder;
  private ControlPlaneCluster cluster;

  @BeforeEach
  void start() throws IOException {
    cluster = new ControlPlaneCluster(folder, 1);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void changesAndRepeatedChangesAreAcknowledgedAndRead() throws Exception {
    assertThat(cluster.callUntilAvailable(0, "GET", CONFIG, null, null).statusCode(), is(404));
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    assertStatus(200, "PATCH", "\"3\"", OperatorDocuments.patch(7, "added"));
    assertStatus(412, "PUT", "3", OperatorDocuments.complete(8));
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    HttpResponse<String> read = cluster.callUntilAvailable(0, "GET", CONFIG, null, null);
    assertThat(read.statusCode(), is(200));
    assertThat(read.body(), containsString("\"version\":7"));
    assertThat(read.body(), containsString("\"added\""));
    assertThat(read.headers().firstValue("Content-Type").get(), is("application/json"));
  }

  @Test
  void invalidChangeIsRejectedWithReason() throws Exception {
    assertStatus(400, "PUT", null, OperatorDocuments.complete(3));
    assertStatus(400, "PUT", "x", OperatorDocuments.complete(3));
    assertStatus(400, "PUT", "0", "{\"version\":");
    HttpResponse<String> unknown =
        cluster.callUntilAvailable(
            0,
            "PUT",
            CONFIG,
            "0",
            OperatorDocuments.complete(3).replace("\"service\":\"s\"", "\"service\":\"t\""));
    assertThat(unknown.statusCode(), is(400));
    assertThat(unknown.body(), containsString("t"));
    assertThat(cluster.callUntilAvailable(0, "GET", CONFIG, null, null).statusCode(), is(404));
  }

  @Test
  void requestAfterOversizedBodyIsAccepted() throws Exception {
    assertStatus(413, "PUT", "0", " ".repeat(4 * 1024 * 1024 + 1));
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
  }

  @Test
  void heartbeatsAreAcknowledgedAndSessionsAppearInStatus() throws Exception {
    assertThat(put(OperatorDocuments.instance("ready", 1)), is(200));
    assertThat(status(), containsString("\"sessions\":1"));
    assertThat(put(OperatorDocuments.instance("draining", 2)), is(200));
    assertThat(cluster.callUntilAvailable(0, "DELETE", INSTANCE, null, null).statusCode(), is(200));
    assertThat(status(), containsString("\"sessions\":0"));
    assertThat(put(OperatorDocuments.instance("ready", 3)), is(200));
    assertThat(status(), containsString("\"sessions\":0"));
  }

  @Test
  void invalidHeartbeatIsRejectedWithReason() throws Exception {
    String complete = OperatorDocuments.instance("ready", 1);
    assertInvalid(complete.replace("\"service\":\"s\",", ""), "service");
    assertInvalid(complete.replace("10.1.0.9:8080", "10.1.0.9"), "address");
    assertInvalid(complete.replace("10.1.0.9:8080", "10.1.0.900:80"), "address");
    assertInvalid(complete.replace("\"ready\"", "\"gone\""), "state");
    assertInvalid(complete.replace(",\"seq\":1", ""), "seq");
    assertInvalid(complete.substring(1), "not an object");
    assertInvalid("{\"service\"", "at byte 10");
    assertInvalid("[]", "not an object");
    assertInvalid("", "not an object");
    assertInvalid("{\"seq\":[1]}", "seq");
    assertThat(status(), containsString("\"sessions\":0"));
  }

  @Test
  void metricsAreInPrometheusFormat() throws Exception {
    String text = cluster.call(0, "GET", "/metrics", null, null).body();
    assertThat(text, containsString("# TYPE slateslip_control_sessions gauge\n"));
    assertThat(text, containsString("\nslateslip_control_sessions 0\n"));
  }

  @Test
  void committedConfigurationSurvivesRestart() throws Exception {
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    assertStatus(200, "PATCH", "3", OperatorDocuments.patch(7, "added"));
    cluster.stop(0);
    cluster.restart(0);
    HttpResponse<String> read = cluster.callUntilAvailable(0, "GET", CONFIG, null, null);
    assertThat(read.body(), containsString("\"version\":7"));
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    assertStatus(412, "PUT", "3", OperatorDocuments.complete(9));
  }

  @Test
  void randomBytesAtEitherPortDoNotAffectOtherConnections() throws Exception {
    Random random = new Random(5);
    for (int round = 0; round < 20; round++) {
      byte[] garbage = new byte[200];
      random.nextBytes(garbage);
      send(cluster.controlSocket(0), garbage).close();
      send(cluster.internalSocket(0), garbage).close();
    }
    assertAcceptsRequests();
  }

  @Test
  void invalidFrameLengthClosesOnlyItsConnection() throws Exception {
    for (int length : new int[] {-1, Integer.MAX_VALUE, Framing.MAX_MESSAGE_BYTES + 1}) {
      Socket socket = cluster.internalSocket(0);
      send(socket, ByteBuffer.allocate(4).putInt(length).array());
      assertThat(isClosed(socket), is(true));
    }
    assertAcceptsRequests();
  }

  @Test
  void firstMessageOfUnknownSchemaClosesConnection() throws Exception {
    Socket socket = cluster.internalSocket(0);
    byte[] header = new byte[8];
    send(socket, ByteBuffer.allocate(12).putInt(header.length).put(header).array());
    assertThat(isClosed(socket), is(true));
    assertAcceptsRequests();
  }

  @Test
  void incompleteRequestsAndFramesDoNotBlockOtherConnections() throws Exception {
    List<Socket> incomplete = new ArrayList<>();
    byte[] incompleteRequest =
        "PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\nContent-Length: 1000\r\n\r\n{\"ver"
            .getBytes(StandardCharsets.US_ASCII);
    for (int each = 0; each < 60; each++) {
      incomplete.add(send(cluster.controlSocket(0), incompleteRequest));
      incomplete.add(send(cluster.internalSocket(0), new byte[] {0, 0, 0, 50, 1, 2}));
    }
    assertAcceptsRequests();
    for (Socket socket : incomplete) {
      socket.close();
    }
  }

  @Test
  void bodySentInTwoPartsWithLongDelayIsAccepted() throws Exception {
    byte[] body = OperatorDocuments.complete(3).getBytes(StandardCharsets.UTF_8);
    String head =
        "PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\nConnection: close\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    long start = System.nanoTime();
    Socket socket = send(cluster.controlSocket(0), head.getBytes(StandardCharsets.US_ASCII));
    send(socket, Arrays.copyOf(body, 1));
    for (int sequence = 1; System.nanoTime() - start < SLOW_BODY_NANOS; sequence++) {
      assertThat(put(OperatorDocuments.instance("ready", sequence)), is(200));
    }
    send(socket, Arrays.copyOfRange(body, 1, body.length));
    byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    assertThat(new String(statusLine, StandardCharsets.US_ASCII), is("HTTP/1.1 200"));
  }

  /**
   * Waits for the next byte or the end of the connection; returns whether the connection was closed
   * or reset.
   */
  private static boolean isClosed(Socket socket) {
    try {
      return socket.getInputStream().read() < 0;
    } catch (IOException reset) {
      return true;
    }
  }

  private void assertAcceptsRequests() throws Exception {
    assertStatus(200, "PUT", "0", OperatorDocuments.complete(3));
    assertThat(put(OperatorDocuments.instance("ready", 1)), is(200));
  }

  private static Socket send(Socket socket, byte[] bytes) throws IOException {
    OutputStream output = socket.getOutputStream();
    try {
      output.write(bytes);
      output.flush();
    } catch (IOException resetByAgent) {
      socket.close();
    }
    return socket;
  }

  private void assertStatus(int expected, String method, String ifMatch, String body)
      throws Exception {
    HttpResponse<String> response = cluster.callUntilAvailable(0, method, CONFIG, ifMatch, body);
    assertThat(response.body(), response.statusCode(), is(expected));
  }

  private void assertInvalid(String body, String expectedReason) throws Exception {
    HttpResponse<String> response = cluster.call(0, "PUT", INSTANCE, null, body);
    assertThat(response.statusCode(), is(400));
    assertThat(response.body(), containsString(expectedReason));
  }

  private int put(String body) throws Exception {
    return cluster.callUntilAvailable(0, "PUT", INSTANCE, null, body).statusCode();
  }

  private String status() throws Exception {
    return cluster.call(0, "GET", "/status", null, null).body();
  }
}
