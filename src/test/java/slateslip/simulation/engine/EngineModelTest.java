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

/** Cases worked out by hand: a step takes 10 ms + 1 ms a request, 100 tokens are read in 1 ms. */
class EngineModelTest {
  private static final long FAR = 1_000_000_000L;

  private static final EngineParameters SIMPLE =
      new EngineParameters(2, 1, 10_000, 10, 10, 1, 0, 100, 0, 0, 2_000, 2);

  private final List<Told> notified = new ArrayList<>();
  private long wakeMicros = Long.MAX_VALUE;

  @Test
  void readsThenPutsOutAnEventEachStride() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 4, part(7, 1_000)));
    run(engine);
    // 1,000 tokens in 10 ms give the first token; each further token takes one step of 11 ms.
    assertThat(eventTimes(1), contains(21_000L, 43_000L));
    assertThat(notified, hasItem(new Told(43_000, new Event(1, 2, true))));
  }

  @Test
  void longPromptIsReadInChunksBetweenTheTokensOfOthers() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 6, part(7, 100)));
    submit(engine, 1_000, request(2, 1, part(8, 5_000)));
    run(engine);
    // Token 1 at 1 ms; the step to 12 ms has begun when the long prompt comes. Chunks of 2,000,
    // 2,000
    // and 1,000 then make iterations of 20 + 11, 20 + 11 and 10 + 11 ms; one more step ends at 106.
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
  void partBehindAMissingOneIsReadAgain() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(7, 1_000), part(8, 500)));
    run(engine);
    submit(engine, 100_000, request(2, 1, part(6, 100), part(8, 500)));
    run(engine);
    assertThat(admissions().get(1), equalTo(new Admitted(2, 0, 600)));
  }

  @Test
  void partUnusedTheLongestGivesWay() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(1, 4_000)));
    run(engine);
    submit(engine, 200_000, request(2, 1, part(2, 4_000)));
    run(engine);
    submit(engine, 400_000, request(3, 1, part(1, 4_000)));
    run(engine);
    submit(engine, 600_000, request(4, 1, part(3, 4_000)));
    run(engine);
    assertThat(engine.keeps(1), is(true));
    assertThat(engine.keeps(2), is(false));
    assertThat(engine.keeps(3), is(true));
  }

  @Test
  void partInUseDoesNotGiveWay() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 100, part(1, 4_000)));
    submit(engine, 50_000, request(2, 1, part(2, 5_900)));
    runUntil(engine, 200_000);
    assertThat(engine.keeps(2), is(true));
    submit(engine, 200_000, request(3, 1, part(3, 5_900)));
    runUntil(engine, 400_000);
    assertThat(engine.keeps(1), is(true));
    assertThat(engine.keeps(2), is(false));
  }

  @Test
  void newestOfLowestPriorityIsPreempted() {
    // Room for 100 tokens: two prompts of 40, each with one block of 10 for output.
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(2, 1, 100));
    submit(engine, 0, request(1, 12, part(1, 40)));
    submit(engine, 0, request(2, 12, part(2, 40)));
    run(engine);
    // Token 11 of the older one needs a third block: the newer one gives way and reads 40 + 10
    // anew,
    // of which its prompt is still kept: only the tokens that it had put out are read.
    assertThat(notified.stream().filter(t -> t.output().equals(new Preempted(2))).count(), is(1L));
    assertThat(
        notified.stream().filter(t -> t.output().equals(new Preempted(1))).toList(), is(empty()));
    assertThat(admissions().get(2).request(), is(2L));
    assertThat(eventIds(1), contains(1L, 2L, 3L, 4L, 5L, 6L));
    assertThat(eventIds(2), contains(1L, 2L, 3L, 4L, 5L, 6L));
  }

  @Test
  void moreUrgentRequestDisplacesALessUrgentOne() {
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(1, 1, 10_000));
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 50, 5, 0, FAR));
    submit(engine, 20_000, new EngineRequest(2, List.of(part(2, 100)), 2, 0, 0, FAR));
    run(engine);
    List<EngineOutput> change =
        notified.stream()
            .map(Told::output)
            .filter(o -> o instanceof Preempted || o instanceof Admitted)
            .toList();
    // The first request had 3 tokens when it gave way; its prompt is still kept.
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
  void fullQueueTurnsAwayUnseen() {
    EngineModel engine = new EngineModel(SIMPLE.withCapacity(1, 1, 10_000));
    submit(engine, 0, request(1, 4, part(1, 100)));
    submit(engine, 0, request(2, 4, part(2, 100)));
    submit(engine, 0, request(3, 4, part(3, 100)));
    assertThat(notified, hasItem(new Told(0, new Rejected(3, Reason.FULL))));
    run(engine);
    assertThat(eventIds(3), is(empty()));
  }

  @Test
  void requestLargerThanTheMemoryIsTurnedAway() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, request(1, 1, part(1, 10_000)));
    assertThat(notified, hasItem(new Told(0, new Rejected(1, Reason.FULL))));
  }

  @Test
  void deadlineBeforeTheFirstTokenMeansNotRun() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 5_000)), 9, 5, 0, 30_000));
    run(engine);
    assertThat(notified, hasItem(new Told(40_000, new Rejected(1, Reason.DEADLINE))));
  }

  @Test
  void deadlineAfterTheFirstTokenMeansRun() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 9, 5, 0, 20_000));
    run(engine);
    assertThat(notified, hasItem(new Told(23_000, new EngineOutput.DeadlineExceeded(1))));
    assertThat(eventIds(1), contains(1L));
  }

  @Test
  void resumedStreamGoesOnBehindTheLastEvent() {
    EngineModel engine = new EngineModel(SIMPLE);
    submit(engine, 0, new EngineRequest(1, List.of(part(1, 100)), 7, 5, 2, FAR));
    run(engine);
    // The 4 tokens of the first two events are read with the prompt.
    assertThat(admissions(), contains(new Admitted(1, 0, 104)));
    assertThat(eventIds(1), contains(3L, 4L));
    assertThat(notified.get(notified.size() - 1).output(), equalTo(new Event(1, 4, true)));
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
    assertThat(engine.keeps(1), is(true));
  }

  @Test
  void stepCostsGrowWithRunningRequestsAndContext() {
    EngineParameters costly =
        new EngineParameters(4, 4, 100_000, 10, 10, 1, 2, 100, 0, 0, 2_000, 1);
    EngineModel engine = new EngineModel(costly);
    submit(engine, 0, request(1, 2, part(1, 1_000)));
    run(engine);
    // 10 ms of reading, then 10 + 1 + 2 x 1.001 ms.
    assertThat(eventTimes(1), contains(10_000L, 23_002L));
  }

  @Test
  void pairsOfTokensCost() {
    EngineParameters costly =
        new EngineParameters(4, 4, 100_000, 10, 10, 1, 0, 100, 4, 1, 2_000, 1);
    EngineModel engine = new EngineModel(costly);
    submit(engine, 0, request(1, 1, part(1, 1_000)));
    run(engine);
    // 10 ms of reading, 1,000 x 500 pairs at 4 ms a million, 1 ms for the first token.
    assertThat(eventTimes(1), contains(13_000L));
  }

  private static PromptPart part(long id, int tokens) {
    return new PromptPart(id, tokens);
  }

  private static EngineRequest request(long id, int outputTokens, PromptPart... prompt) {
    return new EngineRequest(
        id, List.of(prompt), outputTokens, EngineRequest.DEFAULT_PRIORITY, 0, FAR);
  }

  private void submit(EngineModel engine, long atMicros, EngineRequest request) {
    runUntil(engine, atMicros - 1);
    feed(engine, atMicros, new EngineInput.Submit(request));
  }

  private void run(EngineModel engine) {
    runUntil(engine, FAR);
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
        notified.add(new Told(atMicros, output));
      }
    }
  }

  private List<Long> eventTimes(long request) {
    return events(request).map(Told::atMicros).toList();
  }

  private List<Long> eventIds(long request) {
    return events(request).map(t -> ((Event) t.output()).eventId()).toList();
  }

  private java.util.stream.Stream<Told> events(long request) {
    return notified.stream().filter(t -> t.output() instanceof Event e && e.request() == request);
  }

  private List<Admitted> admissions() {
    return notified.stream()
        .map(Told::output)
        .filter(Admitted.class::isInstance)
        .map(Admitted.class::cast)
        .toList();
  }

  private record Told(long atMicros, EngineOutput output) {}
}
