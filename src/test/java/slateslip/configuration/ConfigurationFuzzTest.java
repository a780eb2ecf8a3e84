package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static slateslip.configuration.ConfigurationSamples.FULL_DOCUMENT;
import static slateslip.configuration.ConfigurationSamples.bytes;
import static slateslip.configuration.ConfigurationSamples.parsed;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class ConfigurationFuzzTest {
  private static final int MUTATIONS = 5_000;
  private static final String PATCH =
      FULL_DOCUMENT
          .replace("{\"version\":7,", "{\"version\":9,\"upsert\":{")
          .replace(",\"motto\"", "},\"remove\":{\"routes\":[\"a\"],\"regions\":[]},\"motto\"");
  private static final ObjectMapper STRICT_LIBRARY =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(StreamReadFeature.USE_FAST_DOUBLE_PARSER)
          .build();

  @Test
  void aDocumentCutShortAnywhereIsRefused() {
    byte[] complete = bytes(FULL_DOCUMENT);
    for (int length = 0; length < complete.length; length++) {
      assertThat(
          "cut at " + length,
          ConfigurationDocument.parse(Arrays.copyOf(complete, length)),
          instanceOf(ConfigurationOutcome.Invalid.class));
    }
  }

  @Test
  void aPatchCutShortAnywhereIsRefused() {
    ConfigurationDocument current = parsed(FULL_DOCUMENT);
    byte[] patch = bytes(PATCH);
    assertThat(current.patched(patch), instanceOf(ConfigurationOutcome.Parsed.class));
    for (int length = 0; length < patch.length; length++) {
      assertThat(
          "cut at " + length,
          current.patched(Arrays.copyOf(patch, length)),
          instanceOf(ConfigurationOutcome.Invalid.class));
    }
  }

  /**
   * Whatever another strict library takes for one JSON value is well formed here too, and no more.
   */
  @Test
  void syntaxAgreesWithAnotherLibrary() {
    Random random = new Random(1);
    byte[] complete = bytes(FULL_DOCUMENT);
    for (int round = 0; round < MUTATIONS; round++) {
      byte[] mutated = mutated(complete, random);
      boolean wellFormed = JsonSyntax.problem(mutated) == null;
      assertThat(
          new String(mutated, StandardCharsets.UTF_8), wellFormed, equalTo(readable(mutated)));
    }
  }

  @Test
  void noDocumentMakesTheReaderThrow() {
    Random random = new Random(2);
    byte[] complete = bytes(FULL_DOCUMENT);
    ConfigurationDocument current = parsed(FULL_DOCUMENT);
    for (int round = 0; round < MUTATIONS; round++) {
      byte[] mutated = mutated(complete, random);
      ConfigurationOutcome outcome = ConfigurationDocument.parse(mutated);
      if (outcome instanceof ConfigurationOutcome.Parsed taken) {
        assertThat(
            parsed(ConfigurationDocument.parse(taken.document().toJson())).configuration(),
            equalTo(taken.document().configuration()));
      }
      assertThat(current.patched(mutated(bytes(PATCH), random)), notNullValue());
    }
  }

  @Test
  void nestingIsBounded() {
    String deepest = "[".repeat(JsonSyntax.MAX_DEPTH) + "]".repeat(JsonSyntax.MAX_DEPTH);
    assertThat(JsonSyntax.problem(bytes(deepest)), nullValue());
    assertThat(JsonSyntax.problem(bytes("[" + deepest + "]")), notNullValue());
    assertThat(JsonSyntax.problem(bytes("[".repeat(1_000_000))), notNullValue());
  }

  private static byte[] mutated(byte[] document, Random random) {
    byte[] mutated = document.clone();
    int changes = 1 + random.nextInt(2);
    for (int change = 0; change < changes; change++) {
      int position = random.nextInt(mutated.length);
      mutated[position] =
          random.nextInt(4) == 0
              ? (byte) random.nextInt(256)
              : document[random.nextInt(document.length)];
    }
    return mutated;
  }

  private static boolean readable(byte[] document) {
    try (JsonParser parser = STRICT_LIBRARY.createParser(document)) {
      return STRICT_LIBRARY.readTree(parser) != null && parser.nextToken() == null;
    } catch (IOException malformed) {
      return false;
    }
  }
}
