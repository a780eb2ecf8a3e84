package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestPathTest {
  private static final int TEXTS = 2_000;

  @ParameterizedTest
  @CsvSource({
    "/a/b, /a/b",
    "/a%2Fb/, /a%2Fb/",
    "/a%2fb/%41, /a%2fb/%41",
    "/\u017e/, /%C5%BE/",
    "/%c5%be/, /%C5%BE/",
    "/%C5%BE/, /%C5%BE/",
    "/%, /%",
    "/%c, /%c",
    "/%zz%c5, /%zz%C5",
  })
  void canonicalFormIsAsExpected(String path, String canonical) {
    assertThat(RequestPath.canonical(path), is(canonical));
  }

  @Test
  void rawAndPercentEncodedFormsHaveTheSameCanonicalForm() {
    for (long seed = 1; seed <= TEXTS; seed++) {
      String text = HeaderTextTest.randomText(new SplittableRandom(seed)).replaceAll("[ -~]", "");
      String escaped = URLEncoder.encode(text, StandardCharsets.UTF_8);
      assertThat("seed " + seed, RequestPath.canonical("/" + text), is("/" + escaped));
      assertThat("seed " + seed, RequestPath.canonical("/" + escaped), is("/" + escaped));
    }
  }

  @Test
  void encodeEscapesAllBytesButVisibleAscii() {
    assertThat(RequestPath.encode("/health"), is("/health"));
    assertThat(RequestPath.encode("/zdravie \u017e?q=%41\n"), is("/zdravie%20%C5%BE?q=%41%0A"));
  }
}
