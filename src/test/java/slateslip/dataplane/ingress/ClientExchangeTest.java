package slateslip.dataplane.ingress;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the format of the time in {@code Retry-After}. */
class ClientExchangeTest {
  @ParameterizedTest
  @CsvSource({
    "100000, 0.100",
    "1200000, 1.200",
    "250000, 0.250",
    "1, 0.000",
    "500, 0.001",
    "61005499, 61.005"
  })
  void formatsSecondsWithThreeDecimals(long micros, String expected) {
    assertThat(ClientExchange.formatSeconds(micros), is(expected));
  }
}
