package slateslip.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class MetricLabelTest {
  @Test
  void escapesOnlyBackslashQuoteAndNewline() {
    assertThat(MetricLabel.escaped("a\\b\"c\nd"), is("a\\\\b\\\"c\\nd"));
    assertThat(MetricLabel.escaped("Z\u00f3na \u010c\t\u0001"), is("Z\u00f3na \u010c\t\u0001"));
  }
}
