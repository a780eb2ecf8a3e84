package slateslip.routing.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slateslip.routing.policy.RoutingPolicy;

/** Retries of all data planes together stay within the bounds. */
class RetryBudgetTest {
  private static final long SECOND = 1_000_000;
  private static final RetryBounds BOUNDS = RetryBounds.DEFAULT;

  @Test
  void retriesOfAllDataPlanesStayWithinTheSlackInEveryWindow() {
    int dataPlanes = 6;
    List<Long> charged = new ArrayList<>();
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < dataPlanes; i++) {
      budgets.add(new RetryBudget(BOUNDS, RoutingPolicy.DEFAULT, -BOUNDS.windowMicros()));
    }
    Random random = new Random(7);
    for (long now = 0; now < 60 * SECOND; now += SECOND / 100) {
      if (budgets.get(random.nextInt(dataPlanes)).tryCharge(now, dataPlanes)) {
        charged.add(now);
      }
    }
    for (long end : charged) {
      long inWindow =
          charged.stream().filter(at -> at > end - BOUNDS.windowMicros() && at <= end).count();
      assertThat((double) inWindow, lessThanOrEqualTo(BOUNDS.slack()));
    }
  }

  @Test
  void repeatedRestartsStayWithinTheSlack() {
    RetryBounds bounds = new RetryBounds(0, 10 * SECOND, 228);
    int dataPlanes = 94;
    RetryBudget[] budgets = new RetryBudget[dataPlanes];
    for (int i = 0; i < dataPlanes; i++) {
      budgets[i] = new RetryBudget(bounds, RoutingPolicy.DEFAULT, -10 * SECOND);
    }
    int charged = 0;
    for (long now = 0; now < 10 * SECOND; now += SECOND) {
      for (int i = 0; i < dataPlanes; i++) {
        boolean restarts = (i + now / SECOND) % 2 == 0;
        if (restarts) {
          budgets[i] = new RetryBudget(bounds, RoutingPolicy.DEFAULT, now);
        }
        while (budgets[i].tryCharge(now + SECOND / 2, dataPlanes)) {
          charged++;
        }
      }
    }
    assertThat((double) charged, lessThanOrEqualTo(bounds.slack()));
  }

  @Test
  void chargedRetriesExpireAfterTheWindow() {
    RetryBudget budget =
        new RetryBudget(new RetryBounds(0, 10 * SECOND, 5), RoutingPolicy.DEFAULT, -10 * SECOND);
    int charged = 0;
    while (budget.tryCharge(0, 1)) {
      charged++;
    }
    assertThat(charged, is(4));
    assertThat(budget.tryCharge(10 * SECOND, 1), is(false));
    assertThat(budget.tryCharge(10 * SECOND + 1, 1), is(true));
  }

  @Test
  void requestsPermitRetriesByTheRatio() {
    RetryBudget budget =
        new RetryBudget(new RetryBounds(0.2, 10 * SECOND, 0), RoutingPolicy.DEFAULT, 0);
    assertThat(budget.tryCharge(0, 1), is(false));
    for (int i = 0; i < 7; i++) {
      budget.countRequest(0);
    }
    assertThat(budget.tryCharge(0, 1), is(true));
    assertThat(budget.tryCharge(0, 1), is(false));
  }
}
