package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * How long connections to servers are kept, as learnt from those that broke; on a clock turned by
 * hand.
 */
class IdleConnectionTimeoutTest {
  private static final long MS = 1_000_000;
  private static final long MAX = 3_750 * MS;
  private final IdleConnectionTimeout age = new IdleConnectionTimeout(MAX, 0);

  private void use(int times, long idleMs, int everyBreaks, long atMs) {
    for (int i = 1; i <= times; i++) {
      age.recordUse(idleMs * MS, everyBreaks > 0 && i % everyBreaks == 0, atMs * MS);
    }
  }

  /** Failed before: a request in seven was written to a connection that the network had dropped. */
  @Test
  void agesWithImmediateResetsAreAvoided() {
    use(50, 40, 12, 1000);
    use(50, 70, 12, 1000);
    use(8, 150, 2, 1000);
    assertTrue(
        age.limitNanos() >= 100 * MS && age.limitNanos() <= 150 * MS, age.limitNanos() + " ns");
  }

  @Test
  void breaksNowAndThenAtAnyAgeCostNoConnection() {
    for (long idle : new long[] {30, 70, 150, 300, 700, 1500}) {
      use(40, idle, 8, 1000);
    }
    assertEquals(MAX, age.limitNanos());
  }

  @Test
  void aFewUsesProveNothing() {
    use(3, 150, 1, 1000);
    assertEquals(MAX, age.limitNanos());
  }

  @Test
  void youngestAreAlwaysReusedAndLimitRecovers() {
    use(40, 30, 1, 1000);
    assertEquals(MAX, age.limitNanos());
    use(8, 150, 1, 1000);
    assertTrue(age.limitNanos() <= 150 * MS);
    age.decay(9_000 * MS);
    assertEquals(MAX, age.limitNanos());
  }
}
