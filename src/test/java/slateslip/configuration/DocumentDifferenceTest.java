package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static slateslip.configuration.ConfigurationSamples.FULL_DOCUMENT;
import static slateslip.configuration.ConfigurationSamples.bytes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that the difference of two documents, applied to the first one, is exactly the second. */
final class DocumentDifferenceTest {
  private static final int ROUNDS = 3_000;

  private static ConfigurationDocument committed(String json) {
    ConfigurationOutcome outcome = ConfigurationDocument.committed(bytes(json));
    return ((ConfigurationOutcome.Parsed) outcome).document();
  }

  private static String text(byte[] json) {
    return new String(json, StandardCharsets.UTF_8);
  }

  private static String names(Random random, String kind, boolean reordered) {
    List<String> items = new ArrayList<>();
    for (int number = random.nextInt(3); number < 8; number++) {
      if (random.nextInt(20) > 0) {
        String name = kind + "\\\"" + number;
        items.add("{\"name\":\"" + name + "\",\"priority\":" + random.nextInt(3) + "}");
      }
    }
    if (reordered) {
      Collections.shuffle(items, random);
    }
    return "[" + String.join(",", items) + "]";
  }

  private static ConfigurationDocument drawn(Random random, long version) {
    boolean reordered = random.nextInt(20) == 0;
    StringBuilder json = new StringBuilder("{\"version\":" + version);
    json.append(",\"routes\":").append(names(random, "r", reordered));
    json.append(",\"services\":").append(names(random, "s", false));
    if (random.nextInt(8) > 0) {
      json.append(",\"tenants\":").append(names(random, "t", false));
    }
    if (random.nextInt(8) > 0) {
      json.append(",\"limits\":{\"max_body_bytes\":").append(random.nextInt(3) + 1).append('}');
    }
    for (String part : List.of("mot\\u00f1to", "upsert", "remove")) {
      if (random.nextInt(part.startsWith("m") ? 2 : 20) == 0) {
        json.append(",\"").append(part).append("\":{\"x\":").append(random.nextInt(2)).append('}');
      }
    }
    return committed(json.append('}').toString());
  }

  @Test
  void patchedDocumentEqualsTheNewOne() {
    Random random = new Random(1);
    int patches = 0;
    for (int round = 0; round < ROUNDS; round++) {
      ConfigurationDocument before = drawn(random, 1 + round);
      ConfigurationDocument after = drawn(random, 2 + round);
      Optional<byte[]> patch = after.patchFrom(before);
      if (patch.isPresent()) {
        patches++;
        ConfigurationOutcome patched = before.committedPatch(patch.get());
        byte[] json = ((ConfigurationOutcome.Parsed) patched).document().toJson();
        assertThat("round " + round, text(json), equalTo(text(after.toJson())));
      }
    }
    assertThat(patches, is(greaterThan(ROUNDS / 50)));
  }

  @Test
  void unchangedDocumentNeedsOnlyItsVersion() {
    ConfigurationDocument before = committed(FULL_DOCUMENT);
    ConfigurationDocument after =
        committed(FULL_DOCUMENT.replace("\"version\":7", "\"version\":9"));
    assertThat(text(after.patchFrom(before).orElseThrow()), is("{\"version\":9}"));
  }

  @Test
  void keyThatWasTakenAwayIsAShortPatch() {
    ConfigurationDocument before = committed(FULL_DOCUMENT);
    String json = FULL_DOCUMENT.replace("\"version\":7", "\"version\":8").replace("\"k1\",", "");
    byte[] patch = committed(json).patchFrom(before).orElseThrow();
    ConfigurationOutcome patched = before.committedPatch(patch);
    FleetConfiguration configuration =
        ((ConfigurationOutcome.Parsed) patched).document().configuration();
    assertThat(configuration.tenants().get(0).keys(), is(List.of("k2")));
  }

  @Test
  void documentWithItemsInAnotherOrderHasNoPatch() {
    ConfigurationDocument before =
        committed("{\"version\":1,\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]}");
    ConfigurationDocument after =
        committed("{\"version\":2,\"services\":[{\"name\":\"b\"},{\"name\":\"a\"}]}");
    assertThat(after.patchFrom(before).isPresent(), is(false));
  }
}
