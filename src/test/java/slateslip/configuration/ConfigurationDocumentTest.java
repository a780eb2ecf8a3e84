package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static slateslip.configuration.ConfigurationSamples.FULL_DOCUMENT;
import static slateslip.configuration.ConfigurationSamples.ROUTE_CHAT;
import static slateslip.configuration.ConfigurationSamples.ROUTE_LOG;
import static slateslip.configuration.ConfigurationSamples.SERVICES;
import static slateslip.configuration.ConfigurationSamples.bytes;
import static slateslip.configuration.ConfigurationSamples.invalid;
import static slateslip.configuration.ConfigurationSamples.parsed;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfigurationDocumentTest {
  private static final ObjectMapper JACKSON = new ObjectMapper();

  private static String complete(String routes, String services, String additionalParts) {
    return "{\"version\":8,\"routes\":"
        + routes
        + ",\"services\":"
        + services
        + additionalParts
        + "}";
  }

  @Test
  void everyFieldIsRead() {
    FleetConfiguration configuration = parsed(FULL_DOCUMENT).configuration();
    assertThat(configuration.version(), equalTo(7L));
    assertThat(
        configuration.routes().get(0),
        equalTo(
            new Route(
                "chat",
                "api.example",
                "/chat/",
                RouteKind.STREAMING,
                8_000,
                600,
                0,
                List.of(
                    new Route.WeightedService("model-a", 90),
                    new Route.WeightedService("model-b", 10)),
                2,
                false,
                true,
                true,
                400)));
    assertThat(configuration.routes().get(1).timeoutMillis(), equalTo(1_001L));
    assertThat(
        configuration.services(),
        contains(
            new Service("model-a", "/health", 360, new Service.Engine(64, 529_133, 5)),
            new Service("model-b", "/health", 0, null)));
    assertThat(
        configuration.limits(), equalTo(new IngressLimits(16_000, 4_000_000, 3_100, 15_100)));
    assertThat(
        configuration.tenants(),
        contains(
            new Tenant("crew", List.of("k1", "k2"), 1, true, 200, 171_442.25, 171_442),
            new Tenant("office", List.of("k3"), -1, false, 0, 0, 0)));
  }

  @Test
  void toJsonReturnsTheDocumentAsSent() throws IOException {
    byte[] again = parsed(FULL_DOCUMENT).toJson();
    assertThat(JACKSON.readTree(again), equalTo(JACKSON.readTree(FULL_DOCUMENT)));
    assertThat(
        parsed(ConfigurationDocument.parse(again)).configuration(),
        equalTo(parsed(FULL_DOCUMENT).configuration()));
  }

  @Test
  void whitespaceAndEscapesDoNotChangeTheResult() throws IOException {
    String pretty =
        JACKSON
            .writerWithDefaultPrettyPrinter()
            .writeValueAsString(JACKSON.readTree(FULL_DOCUMENT));
    assertThat(parsed(pretty).configuration(), equalTo(parsed(FULL_DOCUMENT).configuration()));
    String escaped =
        FULL_DOCUMENT.replace("chat", "\\u0063hat").replace("api_keys", "api\\u005fkeys");
    assertThat(parsed(escaped).configuration(), equalTo(parsed(FULL_DOCUMENT).configuration()));
  }

  @Test
  void nullFieldIsTreatedAsMissing() {
    String route = ROUTE_LOG.replace("}", ",\"traffic_split\":null,\"priority\":null}");
    assertThat(
        parsed(complete("[" + route + "]", SERVICES, ",\"tenants\":null,\"limits\":null"))
            .version(),
        equalTo(8L));
  }

  @Test
  void weightsMayBeFractions() {
    String route = ROUTE_CHAT.replace("90", "0.75").replace("\"weight\":10", "\"weight\":0.25");
    FleetConfiguration configuration =
        parsed(complete("[" + route + "]", SERVICES, "")).configuration();
    List<Route.WeightedService> targets = configuration.routes().get(0).targets();
    assertThat(targets.get(0).weight(), equalTo(3 * targets.get(1).weight() - 2));
  }

  @Test
  void unknownKindIsNonIdempotent() {
    String route = ROUTE_CHAT.replace("streaming", "bidirectional");
    FleetConfiguration configuration =
        parsed(complete("[" + route + "]", SERVICES, "")).configuration();
    assertThat(configuration.routes().get(0).kind(), equalTo(RouteKind.NON_IDEMPOTENT));
  }

  @Test
  void versionNotAboveTheCurrentOneIsRejected() {
    assertThat(
        ConfigurationDocument.parse(bytes(FULL_DOCUMENT), 6),
        instanceOf(ConfigurationOutcome.Parsed.class));
    assertThat(
        invalid(ConfigurationDocument.parse(bytes(FULL_DOCUMENT), 7)),
        containsString("version 7 is not above the current one, 7"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "\"service\":\"model-b\"}|\"service\":\"model-z\"}|routes \"ledger\": service \"model-z\" is unknown",
        "\"service\":\"model-a\",|\"service\":\"model-z\",|routes \"chat\": service \"model-z\" is unknown",
        "/ledger/|/chat/|routes \"ledger\": hostname and path_prefix are those of route \"chat\"",
        "\"weight\":90|\"weight\":-1|routes \"chat\": traffic_split has a weight below 0",
        "\"weight\":90|\"weight\":\"x\"|routes \"chat\": weight is not a number",
        "\"timeout_ms\":8000|\"timeout_ms\":0|routes \"chat\": timeout_ms is 0",
        "\"timeout_ms\":8000|\"timeout_ms\":0.0|routes \"chat\": timeout_ms is 0",
        "\"timeout_ms\":8000|\"timeout_ms\":-5|routes \"chat\": timeout_ms is below 0",
        "\"timeout_ms\":8000|\"timeout_ms\":\"8000\"|routes \"chat\": timeout_ms is not a number",
        "\"timeout_ms\":8000,|~~|routes \"chat\": timeout_ms is 0 or missing",
        "/ledger/|/ledger|routes \"ledger\": path_prefix does not start and end with a slash",
        "/ledger/|ledger/|routes \"ledger\": path_prefix does not start and end with a slash",
        "\"hostname\":\"api.example\",|~~|routes \"chat\": hostname is missing",
        ",\"service\":\"model-b\"}|}|routes \"ledger\": service is missing",
        "\"name\":\"ledger\"|\"name\":\"chat\"|routes has two items of the name \"chat\"",
        "\"name\":\"model-b\"|\"name\":\"model-a\"|services has two items of the name \"model-a\"",
        "\"name\":\"office\"|\"name\":\"crew\"|tenants has two items of the name \"crew\"",
        "\"k3\"|\"k1\"|tenants \"office\": api_keys shares a key with \"crew\"",
        "\"name\":\"ledger\",|~~|routes has an item without a name",
        "\"rate_per_s\":171442.25|\"rate_per_s\":-1|tenants \"crew\": rate_per_s is below 0",
        "\"version\":7,|~~|version 0 is not above the current one, 0",
        "\"version\":7|\"version\":7.5|version is not a whole number",
        "\"version\":7|\"version\":-7|version -7 is not above the current one, 0",
        "\"routes\"|\"route\"|routes is missing",
        "\"services\"|\"service\"|services is missing",
        "\"max_body_bytes\":4000000|\"max_body_bytes\":[]|limits: max_body_bytes is not a number",
      })
  void invalidDocumentIsRejectedAndItsFieldNamed(
      String original, String replacement, String message) {
    assertThat(FULL_DOCUMENT, containsString(original));
    int start = FULL_DOCUMENT.indexOf(original);
    String changed =
        FULL_DOCUMENT.substring(0, start)
            + replacement
            + FULL_DOCUMENT.substring(start + original.length());
    assertThat(invalid(ConfigurationDocument.parse(bytes(changed))), containsString(message));
  }

  @Test
  void weightsThatAddUpToZeroAreRejected() {
    String changed = FULL_DOCUMENT.replace(":90}", ":0}").replace(":10}", ":0.0}");
    assertThat(
        invalid(ConfigurationDocument.parse(bytes(changed))),
        containsString("routes \"chat\": traffic_split has weights that add up to 0"));
    String empty = ROUTE_CHAT.replaceAll("\\[.*]", "[]");
    assertThat(
        invalid(ConfigurationDocument.parse(bytes(complete("[" + empty + "]", SERVICES, "")))),
        allOf(containsString("routes \"chat\""), containsString("service")));
  }

  @Test
  void singleWeightOfZeroIsAccepted() {
    assertThat(parsed(FULL_DOCUMENT.replace(":10}", ":0}")).version(), equalTo(7L));
  }

  @Test
  void trailingBytesAreRejected() {
    for (String trailing : List.of("x", "{}", "]", "\0", FULL_DOCUMENT)) {
      assertThat(
          invalid(ConfigurationDocument.parse(bytes(FULL_DOCUMENT + trailing))),
          containsString("more bytes follow the document"));
    }
    assertThat(parsed(FULL_DOCUMENT + " \r\n\t").version(), equalTo(7L));
  }

  @Test
  void documentThatIsNotAnObjectIsRejected() {
    for (String document : List.of("", " ", "[]", "7", "null", "\"x\"", "true")) {
      invalid(ConfigurationDocument.parse(bytes(document)));
    }
  }

  @Test
  void emptyListsAreAccepted() {
    FleetConfiguration configuration = parsed(complete("[]", "[]", "")).configuration();
    assertThat(configuration.routes(), hasSize(0));
    assertThat(configuration.limits(), equalTo(IngressLimits.DEFAULT));
  }
}
