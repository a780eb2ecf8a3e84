package slateslip.loadbalancer.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
  private static final List<Long> BACKENDS = LongStream.rangeClosed(1, 10).boxed().toList();
  private static final int KEYS = 10_000;

  private static long highest(List<Long> backends, long key, Long except) {
    return RendezvousHash.highest(backends, key, id -> id, except);
  }

  @Test
  void resultDoesNotDependOnTheOrderOfTheCandidates() {
    List<Long> shuffled = new ArrayList<>(BACKENDS);
    Collections.shuffle(shuffled, new Random(1));
    for (long key = 0; key < KEYS; key++) {
      assertThat(highest(shuffled, key, null), is(highest(BACKENDS, key, null)));
    }
  }

  @Test
  void removedBackendMovesOnlyItsKeysToTheirSecondChoice() {
    Long removed = BACKENDS.get(3);
    List<Long> remaining = BACKENDS.stream().filter(id -> !id.equals(removed)).toList();
    int moved = 0;
    for (long key = 0; key < KEYS; key++) {
      long before = highest(BACKENDS, key, null);
      long after = highest(remaining, key, null);
      moved += before == after ? 0 : 1;
      assertThat(after, is(before == removed ? highest(BACKENDS, key, removed) : before));
    }
    assertThat(Math.abs(moved - KEYS / 10) < KEYS / 50, is(true));
  }

  @Test
  void positionsAreUniformBetweenZeroAndOne() {
    int low = 0;
    for (long key = 0; key < KEYS; key++) {
      double position = RendezvousHash.position(key);
      assertThat(position >= 0 && position < 1, is(true));
      low += position < 0.25 ? 1 : 0;
    }
    assertThat(Math.abs(low - KEYS / 4) < KEYS / 50, is(true));
  }
}
