package slateslip.loadbalancer.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RetryTokenBucketTest {
  private static int spendAll(RetryTokenBucket bucket) {
    int spent = 0;
    for (; bucket.permits(); spent++) {
      bucket.spend();
    }
    return spent;
  }

  @Test
  void bucketStartsFullAndRequestsEarnTokens() {
    RetryTokenBucket bucket = new RetryTokenBucket(0.25, 10);
    assertThat(spendAll(bucket), is(10));
    for (int i = 0; i < 3; i++) {
      bucket.earn();
    }
    assertThat(bucket.permits(), is(false));
    bucket.earn();
    assertThat(spendAll(bucket), is(1));
  }

  @Test
  void earnedTokensAreLimitedToTheCapacity() {
    RetryTokenBucket bucket = new RetryTokenBucket(0.5, 3);
    for (int i = 0; i < 1000; i++) {
      bucket.earn();
    }
    assertThat(spendAll(bucket), is(3));
  }
}
