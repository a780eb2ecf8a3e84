package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests how long connections to servers are kept, according to the observed resets, with a clock
 * that the test controls.
 */
class IdleConnectionTimeoutTest {
  private static final long MS = 1_000_000;
  private static final long MAX = 3_750 * MS;
  private final IdleConnectionTimeout timeout = new IdleConnectionTimeout(MAX, 0);

  private void recordUses(int times, long idleMs, int resetEvery, long atMs) {
    for (int i = 1; i <= times; i++) {
      timeout.recordUse(idleMs * MS, resetEvery > 0 && i % resetEvery == 0, atMs * MS);
    }
  }

  /**
   * Guards against requests on dead connections: one request in seven was written to a connection
   * that the network had dropped.
   */
  @Test
  void agesWithImmediateResetsAreAvoided() {
    recordUses(50, 40, 12, 1000);
    recordUses(50, 70, 12, 1000);
    recordUses(8, 150, 2, 1000);
    assertTrue(
        timeout.limitNanos() >= 100 * MS && timeout.limitNanos() <= 150 * MS,
        timeout.limitNanos() + " ns");
  }

  @Test
  void occasionalResetsDoNotLowerLimit() {
    for (long idle : new long[] {30, 70, 150, 300, 700, 1500}) {
      recordUses(40, idle, 8, 1000);
    }
    assertEquals(MAX, timeout.limitNanos());
  }

  @Test
  void fewUsesDoNotLowerLimit() {
    recordUses(3, 150, 1, 1000);
    assertEquals(MAX, timeout.limitNanos());
  }

  @Test
  void youngestAreAlwaysReusedAndLimitRecovers() {
    recordUses(40, 30, 1, 1000);
    assertEquals(MAX, timeout.limitNanos());
    recordUses(8, 150, 1, 1000);
    assertTrue(timeout.limitNanos() <= 150 * MS);
    timeout.decay(9_000 * MS);
    assertEquals(MAX, timeout.limitNanos());
  }
}
