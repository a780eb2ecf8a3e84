package slateslip.routing.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;
import slateslip.routing.policy.RoutingPolicy;

/** The estimator learns the speed of engines from measurements, of which 30 % include a wait. */
class PrefillEstimatorTest {
  private static final int SAMPLES = 400;
  private static final double TOLERANCE = 0.25;
  private static final PrefillWork SMALL = PrefillWork.of(1_400, 350);
  private static final PrefillWork LARGE = PrefillWork.of(17_000, 0);

  private final PrefillEstimator estimator = new PrefillEstimator(RoutingPolicy.DEFAULT);
  private final Random random = new Random(7);

  /** A simulated engine with a fixed prefill speed. */
  private record Engine(double baseMillis, double tokensPerMilli, double millisPerMillionPairs) {
    double micros(PrefillWork work) {
      return 1_000
          * (baseMillis
              + work.newTokens() / tokensPerMilli
              + work.millionPairs() * millisPerMillionPairs);
    }
  }

  private static final Engine FAST = new Engine(34.5, 112, 0.218);
  private static final Engine CONFIGURED = new Engine(12, 63.9, 0.367);
  private static final Engine SLOW = new Engine(20, 30, 0.8);

  private void learn(Engine engine, int samples) {
    for (int i = 0; i < samples; i++) {
      long prompt = 500L + random.nextInt(18_000);
      PrefillWork work = PrefillWork.of(prompt, random.nextBoolean() ? prompt * 3 / 4 : 0);
      double wait = random.nextDouble() < 0.3 ? 200_000 * random.nextDouble() : 0;
      estimator.learn(work, (long) (engine.micros(work) + wait));
    }
  }

  private double error(Engine engine, PrefillWork work) {
    return Math.abs(estimator.micros(work) / engine.micros(work) - 1);
  }

  @Test
  void initialEstimateFollowsThePolicy() {
    RoutingPolicy policy = RoutingPolicy.of("", "prior-tokens-per-milli=63.9");
    PrefillEstimator known = new PrefillEstimator(policy);
    assertThat(known.micros(SMALL) / CONFIGURED.micros(SMALL), is(closeTo(1, 0.01)));
    assertThat(known.micros(LARGE) / CONFIGURED.micros(LARGE), is(closeTo(1, 0.01)));
  }

  @Test
  void defaultInitialEstimateAssumesASlowEngine() {
    assertThat((double) estimator.micros(LARGE), is(greaterThan(2 * FAST.micros(LARGE))));
  }

  @Test
  void learnsAnEngineTwiceAsFast() {
    learn(FAST, SAMPLES);
    assertThat(error(FAST, SMALL), is(lessThan(TOLERANCE)));
    assertThat(error(FAST, LARGE), is(lessThan(TOLERANCE)));
  }

  @Test
  void learnsAnEngineHalfAsFast() {
    learn(SLOW, SAMPLES);
    assertThat(error(SLOW, LARGE), is(lessThan(TOLERANCE)));
  }

  @Test
  void estimateFollowsAChangeOfSpeed() {
    learn(FAST, SAMPLES);
    learn(SLOW, SAMPLES);
    assertThat(error(SLOW, LARGE), is(lessThan(TOLERANCE)));
  }

  @Test
  void oneLateResponseChangesTheEstimateLittle() {
    learn(FAST, SAMPLES);
    long before = estimator.micros(LARGE);
    estimator.learn(LARGE, 60_000_000);
    assertThat(estimator.micros(LARGE) - before, is(lessThan(before / 50)));
  }

  @Test
  void estimateStaysWithinBoundsUnderWrongMeasurements() {
    long known = estimator.micros(LARGE);
    for (int i = 0; i < 10 * SAMPLES; i++) {
      estimator.learn(LARGE, 0);
    }
    assertThat(estimator.micros(LARGE), is(greaterThan(known / 9)));
    for (int i = 0; i < 20 * SAMPLES; i++) {
      estimator.learn(LARGE, Long.MAX_VALUE / 2);
    }
    assertThat(estimator.micros(LARGE), is(lessThanOrEqualTo(9 * known)));
  }
}
