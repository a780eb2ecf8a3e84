package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static slateslip.configuration.ConfigurationSamples.FULL_DOCUMENT;
import static slateslip.configuration.ConfigurationSamples.ROUTE_CHAT;
import static slateslip.configuration.ConfigurationSamples.bytes;
import static slateslip.configuration.ConfigurationSamples.invalid;
import static slateslip.configuration.ConfigurationSamples.parsed;
import static slateslip.configuration.ConfigurationSamples.route;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ConfigurationPatchTest {
  private static final ObjectMapper JACKSON = new ObjectMapper();

  private static ConfigurationDocument patched(String patch) {
    return parsed(parsed(FULL_DOCUMENT).patched(bytes(patch)));
  }

  private static String rejectionMessage(String patch) {
    return invalid(parsed(FULL_DOCUMENT).patched(bytes(patch)));
  }

  private static List<String> routeNames(ConfigurationDocument document) {
    return document.configuration().routes().stream().map(Route::name).toList();
  }

  @Test
  void itemsAreReplacedByNameAndAdded() {
    String changed = ROUTE_CHAT.replace("8000", "9000");
    ConfigurationDocument document =
        patched("{\"version\":9,\"upsert\":{\"routes\":[" + changed + "," + route("new") + "]}}");
    assertThat(document.version(), equalTo(9L));
    assertThat(routeNames(document), contains("chat", "ledger", "new"));
    assertThat(document.configuration().routes().get(0).timeoutMillis(), equalTo(9_000L));
    assertThat(document.configuration().tenants(), hasSize(2));
  }

  @Test
  void itemsAreRemovedByName() {
    ConfigurationDocument document =
        patched(
            "{\"version\":9,\"remove\":{\"routes\":[\"ledger\",\"absent\"],\"tenants\":[\"crew\"]}}");
    assertThat(routeNames(document), contains("chat"));
    assertThat(document.configuration().tenants(), hasSize(1));
  }

  @Test
  void removalsApplyBeforeAdditions() {
    String moved = route("other").replace("/other/", "/chat/");
    ConfigurationDocument document =
        patched(
            "{\"upsert\":{\"routes\":["
                + moved
                + "]},\"remove\":{\"routes\":[\"chat\"]},"
                + "\"version\":9}");
    assertThat(routeNames(document), contains("ledger", "other"));
  }

  @Test
  void apiKeyCanMoveBetweenTenants() {
    ConfigurationDocument document =
        patched(
            "{\"version\":9,\"upsert\":{\"tenants\":[{\"name\":\"office\",\"api_keys\":[\"k1\"]},"
                + "{\"name\":\"crew\",\"api_keys\":[\"k2\"]}]}}");
    assertThat(document.configuration().tenants().get(1).keys(), contains("k1"));
  }

  @Test
  void limitsAreReplacedAsAWhole() {
    ConfigurationDocument document = patched("{\"version\":9,\"limits\":{\"max_body_bytes\":100}}");
    assertThat(document.configuration().limits().maxBodyBytes(), equalTo(100));
    assertThat(
        document.configuration().limits().maxHeaderBytes(),
        equalTo(IngressLimits.DEFAULT.maxHeaderBytes()));
  }

  @Test
  void nullChangesNothing() {
    ConfigurationDocument document =
        patched("{\"version\":9,\"limits\":null,\"remove\":null,\"upsert\":{\"routes\":null}}");
    assertThat(
        document.configuration().limits(), equalTo(parsed(FULL_DOCUMENT).configuration().limits()));
    assertThat(routeNames(document), contains("chat", "ledger"));
  }

  @Test
  void unknownPartsAreKeptAndPatchedByName() throws IOException {
    ConfigurationDocument document =
        patched(
            "{\"version\":9,\"upsert\":{\"regions\":[{\"name\":\"r2\"}],\"quirks\":[{\"name\":\"q\"}]},"
                + "\"remove\":{\"regions\":[\"r1\"],\"nothing\":[\"x\"]},\"motto\":1}");
    JsonNode json = JACKSON.readTree(document.toJson());
    assertThat(json.get("regions"), equalTo(JACKSON.readTree("[{\"name\":\"r2\"}]")));
    assertThat(json.get("quirks"), equalTo(JACKSON.readTree("[{\"name\":\"q\"}]")));
    assertThat(json.get("motto").asInt(), equalTo(1));
    assertThat(json.has("nothing"), equalTo(false));
    assertThat(json.at("/routes/0/note/owner").asText(), equalTo("añil"));
  }

  @Test
  void patchedDocumentEqualsItsReparse() {
    ConfigurationDocument document =
        patched("{\"version\":9,\"upsert\":{\"routes\":[" + route("new") + "]}}");
    assertThat(
        parsed(ConfigurationDocument.parse(document.toJson())).configuration(),
        equalTo(document.configuration()));
  }

  @Test
  void patchLeavesThePreviousDocumentUnchanged() {
    ConfigurationDocument previous = parsed(FULL_DOCUMENT);
    parsed(previous.patched(bytes("{\"version\":9,\"remove\":{\"routes\":[\"ledger\"]}}")));
    assertThat(routeNames(previous), contains("chat", "ledger"));
    assertThat(previous.version(), equalTo(7L));
  }

  @Test
  void invalidPatchIsRejectedAndItsFieldNamed() {
    assertThat(rejectionMessage("{}"), containsString("version 0 is not above the current one, 7"));
    assertThat(rejectionMessage("{\"version\":7}"), containsString("version 7 is not above"));
    assertThat(
        rejectionMessage("{\"version\":9,\"remove\":{\"services\":[\"model-b\"]}}"),
        containsString("routes \"chat\": service \"model-b\" is unknown"));
    assertThat(
        rejectionMessage(
            "{\"version\":9,\"upsert\":{\"routes\":[" + route("a").replace("8000", "0") + "]}}"),
        containsString("routes \"a\": timeout_ms is 0"));
    assertThat(
        rejectionMessage(
            "{\"version\":9,\"upsert\":{\"routes\":[" + route("a") + "," + route("a") + "]}}"),
        containsString("two items of the name \"a\""));
    assertThat(
        rejectionMessage(
            "{\"version\":9,\"upsert\":{\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k3\"]}]}}"),
        containsString("shares a key with \"office\""));
    assertThat(
        rejectionMessage("{\"version\":9,\"upsert\":{\"routes\":{}}}"),
        containsString("is not a list"));
    assertThat(
        rejectionMessage("{\"version\":9,\"remove\":{\"routes\":[1]}}"),
        containsString("remove.routes is not a list of names"));
    assertThat(
        rejectionMessage("{\"version\":9,\"upsert\":[]}"),
        containsString("upsert is not an object"));
  }
}
