package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the delays before retries grow, are bounded and differ between agents. */
class BackoffTest {
  private static final long MIN = 50;
  private static final long MAX = 1000;

  @Test
  void delaysGrowToLimitAndRestartAfterReset() {
    Backoff backoff = new Backoff(MIN, MAX, 1);
    for (int round = 0; round < 2; round++) {
      long length = MIN;
      for (int i = 0; i < 50; i++) {
        long delay = backoff.next();
        assertTrue(delay >= length / 2 && delay <= length, delay + " of " + length);
        length = Math.min(2 * length, MAX);
      }
      backoff.reset();
    }
  }

  /**
   * Guards against synchronized retries: agents that lost a service at the same moment all called
   * again at the same moment, every second.
   */
  @Test
  void agentsDisconnectedTogetherDoNotRetryInStep() {
    List<Long> times = new ArrayList<>();
    for (long seed = 0; seed < 1000; seed++) {
      Backoff backoff = new Backoff(MIN, MAX, seed);
      long at = 0;
      for (int i = 0; i < 8; i++) {
        at += backoff.next();
      }
      times.add(at);
    }
    long first = times.stream().min(Long::compare).orElseThrow();
    for (long from = first; from < first + MAX; from += MAX / 10) {
      long part = from;
      long n = times.stream().filter(each -> each >= part && each < part + MAX / 10).count();
      assertTrue(n <= 250, n + " of 1000 within a tenth of a second");
    }
  }
}
