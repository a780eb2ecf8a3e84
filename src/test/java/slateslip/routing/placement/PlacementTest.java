package slateslip.routing.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slateslip.configuration.Service;
import slateslip.routing.Fixtures;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.policy.RoutingPolicy;

/** Choice of backends by prompt prefix, load, health and zone. */
class PlacementTest {
  private static final int DATA_PLANES = 6;
  private static final long NOW = 1_000_000;
  private static final long TARGET_MICROS = 600_000;
  private static final int SHARED_TOKENS = 13_300;

  private static final ServiceModel SERVICE_MODEL = ServiceModel.initial(RoutingPolicy.DEFAULT);
  private final Placement placement = new Placement("z0", new Random(1), RoutingPolicy.DEFAULT);
  private final List<Backend> modelBackends = backends("model");

  private static List<Backend> backends(String service) {
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      backends.add(
          new Backend(
              Fixtures.backend("i-" + i * 7919, service, "z" + i % 3),
              0,
              SERVICE_MODEL,
              RoutingPolicy.DEFAULT));
    }
    return backends;
  }

  private static Placement.RequestProfile withPrompt(long sharedId, long ownId) {
    List<PromptPart> parts =
        List.of(new PromptPart(sharedId, SHARED_TOKENS), new PromptPart(ownId, 3_700));
    return new Placement.RequestProfile(
        Fixtures.MODEL, parts, SHARED_TOKENS + 3_700, TARGET_MICROS, DATA_PLANES);
  }

  private static Placement.RequestProfile withoutPrompt(Service service) {
    return new Placement.RequestProfile(service, List.of(), 0, TARGET_MICROS, DATA_PLANES);
  }

  private Placement.Choice send(Placement.RequestProfile profile) {
    Placement.Choice choice = placement.pick(NOW, profile, modelBackends, backend -> true);
    choice.backend().sent();
    choice
        .backend()
        .engine()
        .sent(
            profile.prompt(),
            choice.newTokens(),
            choice.prefillMicros(),
            Fixtures.MODEL.engine().cacheTokens(),
            DATA_PLANES,
            NOW);
    return choice;
  }

  @Test
  void twoDataPlanesPreferTheSameBackendForASharedPart() {
    Placement otherPlacement = new Placement("z2", new Random(99), RoutingPolicy.DEFAULT);
    List<Backend> sameBackends = backends("model");
    for (long key = 0; key < 50; key++) {
      Backend here =
          placement.pick(NOW, withPrompt(key, 1_000), modelBackends, each -> true).backend();
      Backend there =
          otherPlacement.pick(NOW, withPrompt(key, 2_000), sameBackends, each -> true).backend();
      assertThat(there.id(), is(here.id()));
    }
  }

  @Test
  void keysSpreadOverAllBackends() {
    Set<String> used = new HashSet<>();
    for (long key = 0; key < 100; key++) {
      used.add(
          placement.pick(NOW, withPrompt(key, 1_000), modelBackends, each -> true).backend().id());
    }
    assertThat(used.size(), is(modelBackends.size()));
  }

  @Test
  void hotKeySpillsToOtherBackends() {
    Set<String> used = new HashSet<>();
    for (long own = 0; own < 40; own++) {
      used.add(send(withPrompt(1, 1_000 + own)).backend().id());
    }
    assertThat(used.size(), greaterThan(1));
  }

  @Test
  void promptStaysAtThePreferredBackendIfAnotherSavesLittleTime() {
    Placement.RequestProfile profile = withPrompt(1, 1_000);
    Backend preferred = placement.pick(NOW, profile, modelBackends, each -> true).backend();
    preferred
        .engine()
        .sent(
            profile.prompt(),
            1,
            1_200_000,
            Fixtures.MODEL.engine().cacheTokens(),
            DATA_PLANES,
            NOW);
    Placement.RequestProfile next = withPrompt(1, 2_000);
    assertThat(placement.pick(NOW, next, modelBackends, each -> true).backend(), is(preferred));
    RoutingPolicy policy = RoutingPolicy.without("reading-cost");
    Placement withoutPrefillCost = new Placement("z0", new Random(1), policy);
    assertThat(
        withoutPrefillCost.pick(NOW, next, modelBackends, each -> true).backend(), not(preferred));
  }

  @Test
  void suspectedBackendIsChosenOnlyIfAllAreSuspected() {
    Backend first =
        placement.pick(NOW, withPrompt(1, 1_000), modelBackends, each -> true).backend();
    first.healthMonitor().connectFailed(NOW, List.of());
    Backend next = placement.pick(NOW, withPrompt(1, 1_000), modelBackends, each -> true).backend();
    assertThat(next, not(first));
    for (Backend backend : modelBackends) {
      backend.healthMonitor().connectFailed(NOW, List.of());
    }
    assertThat(
        placement.pick(NOW, withPrompt(1, 1_000), modelBackends, each -> true).backend(),
        is(first));
  }

  @Test
  void unhealthyBackendsAreChosenIfNoneIsHealthy() {
    for (Backend backend : modelBackends) {
      backend.healthMonitor().probeFailed();
      backend.healthMonitor().probeFailed();
      assertThat(backend.healthMonitor().available(NOW), is(false));
    }
    assertThat(
        placement.pick(NOW, withoutPrompt(Fixtures.MODEL), modelBackends, each -> true),
        not(nullValue()));
  }

  @Test
  void ownZoneIsPreferredUntilItsBackendsAreFull() {
    List<Backend> logBackends = backends("ledger");
    for (int i = 0; i < 20; i++) {
      Backend chosen =
          placement.pick(NOW, withoutPrompt(Fixtures.LOG), logBackends, each -> true).backend();
      assertThat(chosen.session().zone(), is("z0"));
    }
    for (Backend backend : logBackends) {
      if (backend.session().zone().equals("z0")) {
        backend.loadReported(backend.session().slots(), NOW);
      }
    }
    Backend chosen =
        placement.pick(NOW, withoutPrompt(Fixtures.LOG), logBackends, each -> true).backend();
    assertThat(chosen.session().zone(), not("z0"));
  }

  @Test
  void nothingIsChosenIfNoBackendIsPermitted() {
    assertThat(
        placement.pick(NOW, withoutPrompt(Fixtures.MODEL), modelBackends, each -> false),
        is(nullValue()));
  }

  @Test
  void partsAreCachedAfterTheirPredecessorsUntilEvicted() {
    PrefixCacheModel cache = new PrefixCacheModel();
    PromptPart first = new PromptPart(1, 1_000);
    PromptPart second = new PromptPart(2, 500);
    cache.sent(List.of(first, second), 1_500, 100_000, 1);
    assertThat(cache.cachedTokens(List.of(first, second), 100_000, 1), is(1_500L));
    assertThat(cache.cachedTokens(List.of(new PromptPart(3, 10), second), 100_000, 1), is(0L));
    cache.sent(List.of(new PromptPart(4, 90_000)), 90_000, 100_000, 1);
    assertThat(cache.cachedTokens(List.of(first, second), 100_000, 1), is(0L));
  }
}
