package slateslip.simulation.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.simulation.engine.EngineOutput.Admitted;
import slateslip.simulation.engine.EngineOutput.Event;
import slateslip.simulation.engine.EngineOutput.Preempted;
import slateslip.simulation.engine.EngineOutput.Reason;
import slateslip.simulation.engine.EngineOutput.Rejected;

/**
 * Checks the engine against event times calculated by hand: a step takes 10 ms and 1 ms per
 * request, and the prefill of 100 tokens takes 1 ms.
 */
class EngineModelTest {
  private static final long FAR_FUTURE_MICROS = 1_000_000_000L;

  private static final EngineParameters SIMPLE =
      new EngineParameters(2, 1, 10_000, 10, 10, 1, 0, 100, 0, 0, 2_000, 2);

  private final List<TimedOutput> outputs = new ArrayList<>();
  private long wakeMicros = Long.MAX_VALUE;

  @Test
  void emitsAnEventPerTokenGroupAfterThePrefill() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 4, part(7, 1_000)));
    run(engine);
    // The prefill of 1,000 tokens takes 10 ms and gives the first token; each further token takes
    // one step of 11 ms.
    assertThat(eventTimes(1), contains(21_000L, 43_000L));
    assertThat(outputs, hasItem(new TimedOutput(43_000, new Event(1, 2, true))));
  }

  @Test
  void longPromptIsPrefilledInChunksBetweenTokensOfOtherRequests() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 6, part(7, 100)));
    submit(engine, 1_000, request(2, 1, part(8, 5_000)));
    run(engine);
    // The first token is generated at 1 ms; the step that ends at 12 ms has begun when the long
    // prompt arrives. Its chunks of 2,000, 2,000 and 1,000 tokens make iterations of 20 + 11,
    // 20 + 11 and 10 + 11 ms; one more step ends at 106 ms.
    assertThat(eventTimes(1), contains(12_000L, 74_000L, 106_000L));
    assertThat(eventTimes(2), contains(95_000L));
  }

  @Test
  void cachedPartsAreNotPrefilledAgain() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(7, 1_000), part(8, 500)));
    run(engine);
    submit(engine, 100_000, request(2, 1, part(7, 1_000), part(9, 300)));
    run(engine);
    assertThat(admissions(), contains(new Admitted(1, 0, 1_500), new Admitted(2, 1_000, 300)));
    assertThat(eventTimes(2), contains(103_000L));
  }

  @Test
  void cachedPartAfterAMissingPartIsPrefilledAgain() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(7, 1_000), part(8, 500)));
    run(engine);
    submit(engine, 100_000, request(2, 1, part(6, 100), part(8, 500)));
    run(engine);
    assertThat(admissions().get(1), equalTo(new Admitted(2, 0, 600)));
  }

  @Test
  void leastRecentlyUsedPartIsEvicted() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(1, 4_000)));
    run(engine);
    submit(engine, 200_000, request(2, 1, part(2, 4_000)));
    run(engine);
    submit(engine, 400_000, request(3, 1, part(1, 4_000)));
    run(engine);
    submit(engine, 600_000, request(4, 1, part(3, 4_000)));
    run(engine);
    assertThat(engine.isCached(1), is(true));
    assertThat(engine.isCached(2), is(false));
    assertThat(engine.isCached(3), is(true));
  }

  @Test
  void partInUseIsNotEvicted() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 100, part(1, 4_000)));
    submit(engine, 50_000, request(2, 1, part(2, 5_900)));
    runUntil(engine, 200_000);
    assertThat(engine.isCached(2), is(true));
    submit(engine, 200_000, request(3, 1, part(3, 5_900)));
    runUntil(engine, 400_000);
    assertThat(engine.isCached(1), is(true));
    assertThat(engine.isCached(2), is(false));
  }

  @Test
  void newestRequestOfLowestPriorityIsPreempted() {
    // The memory of 100 tokens holds two prompts of 40, each with one block of 10 for output.
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(2, 1, 100));
    submit(engine, 0, request(1, 12, part(1, 40)));
    submit(engine, 0, request(2, 12, part(2, 40)));
    run(engine);
    // The 11th token of the older request needs another block, so the newer request is preempted.
    // Its prompt stays cached, so only its generated tokens are prefilled again.
    assertThat(outputs.stream().filter(t -> t.output().equals(new Preempted(2))).count(), is(1L));
    assertThat(
        outputs.stream().filter(t -> t.output().equals(new Preempted(1))).toList(), is(empty()));
    assertThat(admissions().get(2).request(), is(2L));
    assertThat(eventIds(1), contains(1L, 2L, 3L, 4L, 5L, 6L));
    assertThat(eventIds(2), contains(1L, 2L, 3L, 4L, 5L, 6L));
  }

  @Test
  void moreUrgentRequestPreemptsALessUrgentRequest() {
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(1, 1, 10_000));
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 50, 5, 0, FAR_FUTURE_MICROS));
    submit(engine, 20_000, new EngineRequest(2, List.of(part(2, 100)), 2, 0, 0, FAR_FUTURE_MICROS));
    run(engine);
    List<EngineOutput> change =
        outputs.stream()
            .map(TimedOutput::output)
            .filter(o -> o instanceof Preempted || o instanceof Admitted)
            .toList();
    // The first request had generated 3 tokens when it was preempted; its prompt is still cached.
    assertThat(
        change,
        contains(
            new Admitted(1, 0, 100),
            new Preempted(1),
            new Admitted(2, 0, 100),
            new Admitted(1, 100, 3)));
    assertThat(eventIds(1).size(), is(25));
  }

  @Test
  void equallyUrgentRequestWaits() {
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(1, 1, 10_000));
    submit(engine, 0, request(1, 4, part(1, 100)));
    submit(engine, 0, request(2, 4, part(2, 100)));
    assertThat(engine.runningCount(), is(1));
    assertThat(engine.waitingCount(), is(1));
    run(engine);
    assertThat(eventTimes(1), contains(12_000L, 34_000L));
    assertThat(eventTimes(2), contains(46_000L, 68_000L));
  }

  @Test
  void fullQueueRejectsRequestsWithoutExecution() {
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(1, 1, 10_000));
    submit(engine, 0, request(1, 4, part(1, 100)));
    submit(engine, 0, request(2, 4, part(2, 100)));
    submit(engine, 0, request(3, 4, part(3, 100)));
    assertThat(outputs, hasItem(new TimedOutput(0, new Rejected(3, Reason.FULL))));
    run(engine);
    assertThat(eventIds(3), is(empty()));
  }

  @Test
  void requestLargerThanTheMemoryIsRejected() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(1, 10_000)));
    assertThat(outputs, hasItem(new TimedOutput(0, new Rejected(1, Reason.FULL))));
  }

  @Test
  void deadlineBeforeTheFirstTokenRejectsTheRequest() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 5_000)), 9, 5, 0, 30_000));
    run(engine);
    assertThat(outputs, hasItem(new TimedOutput(40_000, new Rejected(1, Reason.DEADLINE))));
  }

  @Test
  void deadlineAfterTheFirstTokenStopsTheRequest() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 9, 5, 0, 20_000));
    run(engine);
    assertThat(outputs, hasItem(new TimedOutput(23_000, new EngineOutput.DeadlineExceeded(1))));
    assertThat(eventIds(1), contains(1L));
  }

  @Test
  void resumedStreamContinuesAfterTheLastEvent() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 7, 5, 2, FAR_FUTURE_MICROS));
    run(engine);
    // The 4 tokens of the first two events are prefilled together with the prompt.
    assertThat(admissions(), contains(new Admitted(1, 0, 104)));
    assertThat(eventIds(1), contains(3L, 4L));
    assertThat(outputs.get(outputs.size() - 1).output(), equalTo(new Event(1, 4, true)));
  }

  @Test
  void cancelledRequestFreesItsSlotAndMemory() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 50, part(1, 1_000)));
    runUntil(engine, 100_000);
    feed(engine, 100_000, new EngineInput.Cancel(1));
    run(engine);
    assertThat(engine.runningCount(), is(0));
    assertThat(engine.lockedTokens(), is(0L));
    assertThat(engine.isCached(1), is(true));
  }

  @Test
  void stepCostsGrowWithRunningRequestsAndContext() {
    EngineParameters costly =
        new EngineParameters(4, 4, 100_000, 10, 10, 1, 2, 100, 0, 0, 2_000, 1);
    EngineModel engine = new EngineModel(costly);
    submit(engine, 0, request(1, 2, part(1, 1_000)));
    run(engine);
    // The prefill takes 10 ms, and the step takes 10 + 1 + 2 x 1.001 ms.
    assertThat(eventTimes(1), contains(10_000L, 23_002L));
  }

  @Test
  void prefillCostGrowsWithTokenPairs() {
    EngineParameters costly =
        new EngineParameters(4, 4, 100_000, 10, 10, 1, 0, 100, 4, 1, 2_000, 1);
    EngineModel engine = new EngineModel(costly);
    submit(engine, 0, request(1, 1, part(1, 1_000)));
    run(engine);
    // The prefill takes 10 ms, the 1,000 x 500 pairs take 2 ms at 4 ms per million, and the first
    // token takes 1 ms.
    assertThat(eventTimes(1), contains(13_000L));
  }

  private static PromptPart part(long id, int tokens) {
    return new PromptPart(id, tokens);
  }

  private static EngineRequest request(long id, int outputTokens, PromptPart... prompt) {
    return new EngineRequest(
        id, List.of(prompt), outputTokens, EngineRequest.DEFAULT_PRIORITY, 0, FAR_FUTURE_MICROS);
  }

  private void submit(EngineModel engine, long atMicros, EngineRequest request) {
    runUntil(engine, atMicros - 1);
    feed(engine, atMicros, new EngineInput.Submit(request));
  }

  private void run(EngineModel engine) {
    runUntil(engine, FAR_FUTURE_MICROS);
  }

  private void runUntil(EngineModel engine, long endMicros) {
    while (wakeMicros <= endMicros) {
      feed(engine, wakeMicros, new EngineInput.Wake());
    }
  }

  private void feed(EngineModel engine, long atMicros, EngineInput input) {
    wakeMicros = Long.MAX_VALUE;
    for (EngineOutput output : engine.handle(atMicros, input)) {
      if (output instanceof EngineOutput.WakeAt wake) {
        wakeMicros = wake.atMicros();
      } else {
        outputs.add(new TimedOutput(atMicros, output));
      }
    }
  }

  private List<Long> eventTimes(long request) {
    return events(request).map(TimedOutput::atMicros).toList();
  }

  private List<Long> eventIds(long request) {
    return events(request).map(t -> ((Event) t.output()).eventId()).toList();
  }

  private java.util.stream.Stream<TimedOutput> events(long request) {
    return outputs.stream().filter(t -> t.output() instanceof Event e && e.request() == request);
  }

  private List<Admitted> admissions() {
    return outputs.stream()
        .map(TimedOutput::output)
        .filter(Admitted.class::isInstance)
        .map(Admitted.class::cast)
        .toList();
  }

  private record TimedOutput(long atMicros, EngineOutput output) {}
}
