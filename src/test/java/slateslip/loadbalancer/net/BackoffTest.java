package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The waits of calls that are made again: they grow, are bounded, and differ between agents. */
class BackoffTest {
  private static final long MIN = 50;
  private static final long MAX = 1000;

  @Test
  void waitsGrowToTheLimitAndBeginAnewAfterAnAnswer() {
    Backoff backoff = new Backoff(MIN, MAX, 1);
    for (int round = 0; round < 2; round++) {
      long length = MIN;
      for (int i = 0; i < 50; i++) {
        long wait = backoff.next();
        assertTrue(wait >= length / 2 && wait <= length, wait + " of " + length);
        length = Math.min(2 * length, MAX);
      }
      backoff.reset();
    }
  }

  /** Failed before: agents cut off in one moment all called again in the same one, each second. */
  @Test
  void agentsCutOffTogetherDoNotCallAgainInStep() {
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
