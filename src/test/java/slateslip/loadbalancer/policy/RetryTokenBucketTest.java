package slateslip.loadbalancer.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RetryTokenBucketTest {
  private static int spendAll(RetryTokenBucket allowance) {
    int spent = 0;
    for (; allowance.permits(); spent++) {
      allowance.spend();
    }
    return spent;
  }

  @Test
  void itStartsFullAndIsThenEarned() {
    RetryTokenBucket allowance = new RetryTokenBucket(0.25, 10);
    assertThat(spendAll(allowance), is(10));
    for (int i = 0; i < 3; i++) {
      allowance.earn();
    }
    assertThat(allowance.permits(), is(false));
    allowance.earn();
    assertThat(spendAll(allowance), is(1));
  }

  @Test
  void tokensAreCapped() {
    RetryTokenBucket allowance = new RetryTokenBucket(0.5, 3);
    for (int i = 0; i < 1000; i++) {
      allowance.earn();
    }
    assertThat(spendAll(allowance), is(3));
  }
}
