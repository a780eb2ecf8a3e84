package slateslip.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class ChangeDigestTest {
  private static final byte[] BODY = {1, 2, 3};

  @Test
  void equalRequestsHaveEqualDigests() {
    ChangeDigest digest = ChangeDigest.of("PUT", 7, BODY);
    assertThat(ChangeDigest.of("PUT", 7, BODY.clone()), equalTo(digest));
    assertThat(ChangeDigest.ofBytes(digest.toBytes()), equalTo(digest));
    assertThat(digest.toBytes().length, equalTo(ChangeDigest.LENGTH));
    assertThat(digest.toString().length(), equalTo(2 * ChangeDigest.LENGTH));
  }

  @Test
  void digestDependsOnMethodBaseVersionAndBody() {
    ChangeDigest digest = ChangeDigest.of("PUT", 7, BODY);
    assertThat(ChangeDigest.of("PATCH", 7, BODY), not(equalTo(digest)));
    assertThat(ChangeDigest.of("PUT", 8, BODY), not(equalTo(digest)));
    assertThat(ChangeDigest.of("PUT", 7, new byte[] {1, 2}), not(equalTo(digest)));
  }

  @Test
  void bytesOfAnotherLengthAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> ChangeDigest.ofBytes(BODY));
  }
}
