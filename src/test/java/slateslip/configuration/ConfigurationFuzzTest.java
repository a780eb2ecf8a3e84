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
  private static final ObjectMapper STRICT_JACKSON =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(StreamReadFeature.USE_FAST_DOUBLE_PARSER)
          .build();

  @Test
  void truncatedDocumentIsRejected() {
    byte[] complete = bytes(FULL_DOCUMENT);
    for (int length = 0; length < complete.length; length++) {
      assertThat(
          "cut at " + length,
          ConfigurationDocument.parse(Arrays.copyOf(complete, length)),
          instanceOf(ConfigurationOutcome.Invalid.class));
    }
  }

  @Test
  void truncatedPatchIsRejected() {
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
   * Checks that {@link JsonSyntax} accepts exactly the mutated documents that Jackson, in strict
   * mode, parses as one JSON value.
   */
  @Test
  void syntaxCheckAgreesWithJackson() {
    Random random = new Random(1);
    byte[] complete = bytes(FULL_DOCUMENT);
    for (int round = 0; round < MUTATIONS; round++) {
      byte[] mutated = mutated(complete, random);
      boolean wellFormed = JsonSyntax.findProblem(mutated) == null;
      assertThat(
          new String(mutated, StandardCharsets.UTF_8), wellFormed, equalTo(readable(mutated)));
    }
  }

  @Test
  void mutatedDocumentsNeverCauseExceptions() {
    Random random = new Random(2);
    byte[] complete = bytes(FULL_DOCUMENT);
    ConfigurationDocument current = parsed(FULL_DOCUMENT);
    for (int round = 0; round < MUTATIONS; round++) {
      byte[] mutated = mutated(complete, random);
      ConfigurationOutcome outcome = ConfigurationDocument.parse(mutated);
      if (outcome instanceof ConfigurationOutcome.Parsed accepted) {
        assertThat(
            parsed(ConfigurationDocument.parse(accepted.document().toJson())).configuration(),
            equalTo(accepted.document().configuration()));
      }
      assertThat(current.patched(mutated(bytes(PATCH), random)), notNullValue());
    }
  }

  @Test
  void nestingBeyondMaxDepthIsRejected() {
    String deepest = "[".repeat(JsonSyntax.MAX_DEPTH) + "]".repeat(JsonSyntax.MAX_DEPTH);
    assertThat(JsonSyntax.findProblem(bytes(deepest)), nullValue());
    assertThat(JsonSyntax.findProblem(bytes("[" + deepest + "]")), notNullValue());
    assertThat(JsonSyntax.findProblem(bytes("[".repeat(1_000_000))), notNullValue());
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
    try (JsonParser parser = STRICT_JACKSON.createParser(document)) {
      return STRICT_JACKSON.readTree(parser) != null && parser.nextToken() == null;
    } catch (IOException malformed) {
      return false;
    }
  }
}
