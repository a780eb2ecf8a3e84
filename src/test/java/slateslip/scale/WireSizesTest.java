package slateslip.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import slateslip.protocol.Framing;

/**
 * The capacity page goes by these sizes: a change of the schema that makes entries longer shows
 * here.
 */
class WireSizesTest {
  private static final int TARGET_BACKENDS = 12_000;

  @Test
  void oneLineForEachKindOfMessageBelowTheHeader() {
    assertThat(WireSizes.lines(), hasSize(7));
    assertThat(WireSizes.lines().get(0), containsString("4000 held out"));
  }

  @Test
  void theTableOfTheTargetsBackendsFitsIntoOneMessage() {
    assertThat(
        WireSizes.snapshotBytes(TARGET_BACKENDS), lessThanOrEqualTo(Framing.MAX_MESSAGE_BYTES));
  }

  @Test
  void anEntryTakesWhatThePageSays() {
    int difference = WireSizes.snapshotBytes(1_000) - WireSizes.snapshotBytes(100);
    assertThat("bytes of 900 sessions", difference, is(88_776));
  }
}
