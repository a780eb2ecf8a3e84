package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.IDN;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostNameTest {
  private static final int NAMES = 2_000;
  private static final String LETTERS =
      "abcxyz0189-\u00e9\u010d\u017e\u0434\u043e\u03b1\u6771\u4eac\ud55c\uae00";

  @ParameterizedTest
  @CsvSource({
    "fleet.example, fleet.example",
    "FLEET.example:8080, fleet.example",
    "fleet.example:, fleet.example",
    "fleet.example:x, fleet.example:x",
    "[::1], [::1]",
    "[::1]:80, [::1]",
    "xn--.example, xn--.example",
    "xn--99999999.example, xn--99999999.example",
    "xn--a_b.example, xn--a_b.example",
  })
  void canonicalFormIsAsExpected(String host, String canonical) {
    assertThat(HostName.canonical(host), is(canonical));
  }

  @Test
  void punycodeAndUnicodeFormsHaveTheSameCanonicalForm() {
    for (long seed = 1; seed <= NAMES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      StringBuilder label = new StringBuilder("a");
      int length = 1 + random.nextInt(10);
      for (int i = 0; i < length; i++) {
        label.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
      }
      String name = label.append("z.example").toString();
      String ascii = IDN.toASCII(name);
      assertThat("seed " + seed + " " + ascii, HostName.canonical(ascii), is(name));
      assertThat("seed " + seed, HostName.canonical(name), is(name));
    }
  }
}
