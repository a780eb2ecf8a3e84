package slateslip.loadbalancer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestParserTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> TENANTS =
      List.of("acme", "Z\u00f3na \u010c", "Z\u00f3na \u0160", "\u6771\u4eac");

  private static AgentConfig config() throws IOException {
    try (InputStream file = RequestParserTest.class.getResourceAsStream("/config.json")) {
      JsonNode root = JSON.readTree(file);
      ObjectNode settings = (ObjectNode) root.get("settings");
      for (String tenant : TENANTS) {
        settings.withArray("realms").addObject().put("name", tenant).put("fraction", 0.25);
      }
      return AgentConfig.of(root);
    }
  }

  /** Returns a request whose header values have one character per byte, as Netty decodes them. */
  private static HttpRequest request(String tenant) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/lookup/1");
    request.headers().set("Host", "origin.svc").set("Request-Id", "a1");
    request.headers().set("Request-Class", "lookup").set("Request-Timeout-Ms", "480");
    request
        .headers()
        .set("Tenant", asLatin1(tenant))
        .set("Affinity-Key", asLatin1("k\u013e\u00fa\u010d"));
    return request;
  }

  private static String asLatin1(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /** Guards against a 400 response for tenants whose names have characters beyond ASCII. */
  @Test
  void nonAsciiTenantNamesAreAccepted() throws IOException {
    AgentConfig config = config();
    for (int i = 0; i < TENANTS.size(); i++) {
      IncomingRequest parsed = RequestParser.parse(config, request(TENANTS.get(i)));
      assertThat(TENANTS.get(i), parsed, is(notNullValue()));
      assertThat(parsed.tenant(), is(i));
      assertThat(parsed.forward().headers().get("Tenant"), is(asLatin1(TENANTS.get(i))));
    }
    assertThat(RequestParser.parse(config, request("Z\u00f3na \u017d")), is(nullValue()));
  }

  @Test
  void nonAsciiOtherHeadersAreRejected() throws IOException {
    HttpRequest request = request("acme");
    request.headers().set("X-Other", "\u00e9");
    assertThat(RequestParser.parse(config(), request), is(nullValue()));
  }
}
