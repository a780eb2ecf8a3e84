package slateslip.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import org.junit.jupiter.api.Test;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.RoutingTable;

class SampleConfigurationTest {
  @Test
  void sampleIsValidAndAllowsTheSampleRequest() throws IOException {
    byte[] text;
    try (InputStream input = LocalFleet.class.getResourceAsStream("configuration.json")) {
      text = input.readAllBytes();
    }
    ConfigurationOutcome outcome = ConfigurationDocument.parse(text);
    assertThat(outcome, instanceOf(ConfigurationOutcome.Parsed.class));
    FleetConfiguration configuration =
        ((ConfigurationOutcome.Parsed) outcome).document().configuration();
    RoutingTable table = new RoutingTable(configuration);
    assertThat(
        table.route(SampleRequest.HOST, SampleRequest.PATH).orElseThrow().name(), is("chat"));
    assertThat(table.tenantByKey(SampleRequest.KEY).orElseThrow().name(), is("sample"));
  }
}
