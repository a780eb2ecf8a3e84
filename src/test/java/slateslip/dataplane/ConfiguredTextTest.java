package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.configuration.HeaderText;
import slateslip.configuration.RoutingTable;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.FleetRouter;

/**
 * Tests configurations with non-ASCII text, which is sent to backends and compared with the text
 * that clients send.
 */
class ConfiguredTextTest {
  private static final String DOCUMENT =
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/\","
          + "\"kind\":\"idempotent\",\"timeout_ms\":8000,\"service\":\"svc\"}],"
          + "\"services\":[{\"name\":\"svc\"}],\"tenants\":[%s]}";

  private DataPlaneFixture fixture;
  private ScriptedPeer backend;

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture(new FleetRouter("z", 1));
    backend =
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "ran"));
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  /**
   * Puts a configuration with these tenants into force. The API key of a tenant is "key-" and its
   * index.
   */
  private void configure(List<String> jsonNames) {
    StringBuilder tenants = new StringBuilder();
    for (String name : jsonNames) {
      tenants.append(tenants.length() == 0 ? "" : ",");
      tenants.append("{\"name\":\"").append(name).append("\",\"api_keys\":[\"key-");
      tenants.append(jsonNames.indexOf(name)).append("\"]}");
    }
    configure(DOCUMENT.formatted(tenants));
  }

  private void configure(String document) {
    byte[] json = document.getBytes(StandardCharsets.UTF_8);
    ConfigurationOutcome outcome = ConfigurationDocument.parse(json);
    assertThat(outcome, instanceOf(ConfigurationOutcome.Parsed.class));
    var parsed = (ConfigurationOutcome.Parsed) outcome;
    fixture.onLoop(
        () -> fixture.forwarder.tableChanged(new RoutingTable(parsed.document().configuration())));
  }

  private ClientResponse callAs(int tenant) throws IOException {
    Socket socket = fixture.dial();
    String key = "X-Credential: key-" + tenant + "\r\n";
    ScriptedPeer.write(socket, DataPlaneFixture.request("a" + tenant, key, "body"));
    return ClientResponse.read(socket.getInputStream());
  }

  /**
   * Guards against wrong tenant names at backends: the header X-Tenant had '?' for characters
   * outside ISO 8859-1, and an encoding other than that of the configuration for other characters,
   * so that several tenants reached backends under the same name.
   */
  @Test
  void tenantNameIsSentToTheBackendAsUtf8() throws IOException {
    List<String> names =
        List.of(
            "Zona C",
            "Z\u00f3na",
            "Z\u00f3na \u010c",
            "Z\u00f3na \u0160",
            "Z\u00f3na \u017d",
            "\u6771\u4eac",
            "\ud83d\udeb0 \u2013 \u0434\u043e\u043c");
    configure(names);
    for (int tenant = 0; tenant < names.size(); tenant++) {
      assertThat(callAs(tenant).status(), is(200));
      String seen = backend.requests.get(tenant).header("X-Tenant");
      byte[] bytes = seen.getBytes(StandardCharsets.ISO_8859_1);
      assertThat(new String(bytes, StandardCharsets.UTF_8), is(names.get(tenant)));
    }
  }

  /**
   * A tenant name that no header can carry is valid. The requests of such a tenant are refused, and
   * reach no backend under another name.
   */
  @Test
  void requestsOfATenantWhoseNameFitsNoHeaderAreRefusedWith503() throws IOException {
    List<String> names = List.of(" a", "a ", "a\\nb", "a\\u0000b", "a\\u007fb", "plain");
    configure(names);
    for (int tenant = 0; tenant < names.size() - 1; tenant++) {
      assertThat(callAs(tenant).status(), is(503));
    }
    assertThat(backend.requests.size(), is(0));
    assertThat(callAs(names.size() - 1).status(), is(200));
  }

  /**
   * Guards against rejected requests: keys, hosts and paths with non-ASCII characters got status
   * 401, 404 or 400.
   */
  @Test
  void nonAsciiKeysHostsAndPathsMatchTheConfiguration() throws IOException {
    configure(
        DOCUMENT
            .replace("h.example", "\u017eilina.example")
            .replace("/a/", "/\u017eiadosti/")
            .formatted("{\"name\":\"t\",\"api_keys\":[\"k\u013e\u00fa\u010d-\u6771\"]}"));
    for (String host : List.of("\u017eilina.example", "xn--ilina-tib.example")) {
      for (String path : List.of("/\u017eiadosti/\u6771?q=\u010d", "/%C5%BEiadosti/x?q=%2f")) {
        assertThat(
            host + path, callRaw(host, path, "k\u013e\u00fa\u010d-\u6771").status(), is(200));
        String line = backend.requests.get(backend.requests.size() - 1).first();
        assertThat(line, is("POST " + HeaderText.encode(path) + " HTTP/1.1"));
      }
    }
    assertThat(
        callRaw("\u017eilina.example", "/\u017eiadosti/", "k\u013e\u00fac").status(), is(401));
    assertThat(callRaw("\u017eilina.example", "/ziadosti/", "k").status(), is(404));
  }

  /** Clients that send ISO 8859-1 are still recognized by keys with non-ASCII characters. */
  @Test
  void keysSentInIso88591AreRecognized() throws IOException {
    configure(DOCUMENT.formatted("{\"name\":\"t\",\"api_keys\":[\"cl\u00e9\"]}"));
    Socket socket = fixture.dial();
    ScriptedPeer.write(
        socket, DataPlaneFixture.request("a1", "X-Credential: cl\u00e9\r\n", "body"));
    assertThat(ClientResponse.read(socket.getInputStream()).status(), is(200));
  }

  @Test
  void pathThatIsNotUtf8IsRejected() throws IOException {
    configure(List.of("t"));
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", "").replace("/a/b", "/a/\u00e9"));
    assertThat(ClientResponse.read(socket.getInputStream()).status(), is(400));
  }

  private ClientResponse callRaw(String host, String target, String key) throws IOException {
    Socket socket = fixture.dial();
    ScriptedPeer.write(
        socket,
        HeaderText.encode(
            "POST "
                + target
                + " HTTP/1.1\r\nHost: "
                + host
                + "\r\nX-Attempt-Id: a1\r\n"
                + "X-Credential: "
                + key
                + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"));
    return ClientResponse.read(socket.getInputStream());
  }
}
