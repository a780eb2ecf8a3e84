package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeaderTextTest {
  private static final int TEXTS = 2_000;

  /**
   * Ranges of code points that random texts are drawn from: ASCII, ISO 8859-1, and characters of
   * two, three and four bytes in UTF-8.
   */
  private static final int[][] ALPHABETS = {
    {0x21, 0x7e}, {0xa1, 0xff}, {0x100, 0x7ff}, {0x800, 0xd7ff}, {0x10000, 0x10ffff}
  };

  static String randomText(SplittableRandom random) {
    StringBuilder text = new StringBuilder();
    int length = 1 + random.nextInt(12);
    for (int i = 0; i < length; i++) {
      int[] alphabet = ALPHABETS[random.nextInt(ALPHABETS.length)];
      text.appendCodePoint(random.nextInt(alphabet[0], alphabet[1] + 1));
    }
    return text.toString();
  }

  @Test
  void encodedTextIsUtf8OnTheWireAndDecodesToTheOriginal() {
    for (long seed = 1; seed <= TEXTS; seed++) {
      String text = randomText(new SplittableRandom(seed));
      String value = HeaderText.encode(text);
      byte[] onTheWire = value.getBytes(StandardCharsets.ISO_8859_1);
      assertThat("seed " + seed, HeaderText.canCarry(text), is(true));
      assertThat("seed " + seed, new String(onTheWire, StandardCharsets.UTF_8), is(text));
      assertThat("seed " + seed, HeaderText.decode(value), is(text));
    }
  }

  @Test
  void invalidUtf8IsDecodedAsIso88591() {
    assertThat(HeaderText.decode("caf\u00e9"), is("caf\u00e9"));
    assertThat(HeaderText.decode("caf\u00c3\u00a9"), is("caf\u00e9"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " a",
        "a ",
        "\ta",
        "a\nb",
        "a\rb",
        "a\u0000b",
        "a\u007fb",
        "\ud800",
        "a\udc00"
      })
  void textThatAHeaderCannotCarryIsDetected(String text) {
    assertThat(HeaderText.canCarry(text), is(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a", "a b", "a\tb", "Z\u00f3na \u010c", "\u6771\u4eac", "\ud83d\udeb0"})
  void textThatAHeaderCanCarryIsAccepted(String text) {
    assertThat(HeaderText.canCarry(text), is(true));
  }
}
