package slateslip.simulation.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A model engine: batches with chunked prefill, a cache of prompt parts, priorities, preemption.
 *
 * <p>A state machine in simulated time. It works in iterations: an iteration reads up to one chunk
 * of prompts, the most urgent first, and then puts out one token of every request whose prompt was
 * read. Requests join, leave and give way between iterations.
 */
public final class EngineModel {
  private static final long IDLE = Long.MAX_VALUE;
  private static final double MICROS_PER_MILLI = 1_000;

  private static final Comparator<EngineJob> NEWEST_LOWEST_PRIORITY =
      Comparator.comparingInt((EngineJob job) -> job.request().priority())
          .thenComparingLong(EngineJob::arrival);

  private final EngineParameters parameters;
  private final PrefixCache memory;
  private final Map<Long, EngineJob> jobs = new HashMap<>();
  private final TreeSet<EngineJob> waiting = new TreeSet<>(EngineJob.URGENCY);
  private final TreeSet<EngineJob> running = new TreeSet<>(EngineJob.URGENCY);
  private final List<PlannedRead> plannedReads = new ArrayList<>();
  private final List<EngineJob> plannedTokens = new ArrayList<>();
  private List<EngineOutput> outputs = new ArrayList<>();
  private long iterationEndMicros = IDLE;
  private long arrivals;

  /** An idle engine with an empty cache. */
  public EngineModel(EngineParameters parameters) {
    this.parameters = parameters;
    this.memory = new PrefixCache(parameters.memoryTokens(), parameters.blockTokens());
  }

  /**
   * Takes one input.
   *
   * @param nowMicros simulated time, never earlier than that of the call before
   * @param input what has happened
   * @return what the engine tells, in order
   */
  public List<EngineOutput> handle(long nowMicros, EngineInput input) {
    outputs = new ArrayList<>();
    while (iterationEndMicros <= nowMicros) {
      long endMicros = iterationEndMicros;
      finishIteration();
      startIteration(endMicros);
    }
    if (input instanceof EngineInput.Submit submit) {
      submit(submit.request());
    } else if (input instanceof EngineInput.Cancel cancel) {
      remove(jobs.get(cancel.request()));
    }
    if (iterationEndMicros == IDLE) {
      startIteration(nowMicros);
    }
    if (iterationEndMicros != IDLE) {
      outputs.add(new EngineOutput.WakeAt(iterationEndMicros));
    }
    return outputs;
  }

  /** Requests that hold a slot. */
  public int runningCount() {
    return running.size();
  }

  /** Requests that wait for a slot. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Tokens of memory that cannot give way. */
  public long lockedTokens() {
    return memory.lockedTokens();
  }

  /** Whether a prompt part is kept at present. */
  public boolean keeps(long partId) {
    return memory.keeps(partId);
  }

  private void submit(EngineRequest request) {
    boolean tooLarge = totalNeed(request) > parameters.memoryTokens();
    if (tooLarge || waiting.size() >= parameters.queueLimit() + freeSlots()) {
      outputs.add(new EngineOutput.Rejected(request.id(), EngineOutput.Reason.FULL));
      return;
    }
    EngineJob job = new EngineJob(request, arrivals++, parameters.tokensPerEvent());
    jobs.put(request.id(), job);
    waiting.add(job);
  }

  private int freeSlots() {
    return parameters.slots() - running.size();
  }

  private long totalNeed(EngineRequest request) {
    long need = memory.inBlocks(request.outputTokens());
    for (var part : request.prompt()) {
      need += memory.inBlocks(part.tokens());
    }
    return need;
  }

  private void remove(EngineJob job) {
    if (job == null) {
      return;
    }
    jobs.remove(job.request().id());
    waiting.remove(job);
    if (running.remove(job)) {
      job.leave(memory);
    }
  }

  private void startIteration(long nowMicros) {
    plannedReads.clear();
    plannedTokens.clear();
    expire(nowMicros);
    admit();
    double millis = planReads() + planTokens();
    boolean nothingToDo = plannedReads.isEmpty() && plannedTokens.isEmpty();
    iterationEndMicros =
        nothingToDo ? IDLE : nowMicros + Math.max(1, Math.round(millis * MICROS_PER_MILLI));
  }

  private void expire(long nowMicros) {
    for (EngineJob job : List.copyOf(jobs.values())) {
      if (job.request().deadlineMicros() > nowMicros) {
        continue;
      }
      long id = job.request().id();
      outputs.add(
          job.started()
              ? new EngineOutput.DeadlineExceeded(id)
              : new EngineOutput.Rejected(id, EngineOutput.Reason.DEADLINE));
      remove(job);
    }
  }

  private void admit() {
    while (!waiting.isEmpty()) {
      EngineJob next = waiting.first();
      if (freeSlots() > 0 && next.admit(memory)) {
        waiting.remove(next);
        running.add(next);
        outputs.add(
            new EngineOutput.Admitted(
                next.request().id(), next.cachedTokens(), next.tokensToRead()));
        continue;
      }
      EngineJob victim = running.isEmpty() ? null : running.last();
      if (victim == null || victim.request().priority() <= next.request().priority()) {
        return;
      }
      preempt(victim);
    }
  }

  private void preempt(EngineJob victim) {
    running.remove(victim);
    victim.leave(memory);
    waiting.add(victim);
    outputs.add(new EngineOutput.Preempted(victim.request().id()));
  }

  private double planReads() {
    long budget = parameters.prefillChunkTokens();
    double millis = 0;
    boolean someEnd = false;
    for (EngineJob job : running) {
      if (!job.reading() || budget == 0) {
        continue;
      }
      long tokens = Math.min(budget, job.tokensToRead());
      budget -= tokens;
      plannedReads.add(new PlannedRead(job, tokens));
      double pairs = tokens * (job.contextTokens() + tokens / 2.0);
      millis += tokens / parameters.prefillTokensPerMilli();
      millis += pairs / 1e6 * parameters.pairsMillisPerMillion();
      someEnd |= tokens == job.tokensToRead();
    }
    return someEnd ? millis + parameters.firstTokenMillis() : millis;
  }

  private double planTokens() {
    long context = 0;
    for (EngineJob job : running) {
      if (!job.reading()) {
        plannedTokens.add(job);
        context += job.contextTokens();
      }
    }
    if (plannedTokens.isEmpty()) {
      return 0;
    }
    return parameters.stepMillis()
        + parameters.stepMillisPerRequest() * plannedTokens.size()
        + parameters.contextMillisPerThousand() * context / 1_000;
  }

  private void finishIteration() {
    for (PlannedRead planned : List.copyOf(plannedReads)) {
      if (!running.contains(planned.job())) {
        continue;
      }
      planned.job().read(planned.tokens(), memory);
      if (!planned.job().reading()) {
        putOutToken(planned.job());
      }
    }
    for (EngineJob job : List.copyOf(plannedTokens)) {
      if (running.contains(job) && !job.reading()) {
        putOutToken(job);
      }
    }
  }

  private void putOutToken(EngineJob job) {
    if (!evictForCapacity(job)) {
      return;
    }
    if (!job.started()) {
      outputs.add(new EngineOutput.Started(job.request().id()));
    }
    boolean eventDone = job.putOut();
    if (eventDone) {
      outputs.add(new EngineOutput.Event(job.request().id(), job.eventId(), job.complete()));
    }
    if (job.complete()) {
      remove(job);
    }
  }

  /** Takes a block if the next token needs one; false if the request itself had to give way. */
  private boolean evictForCapacity(EngineJob job) {
    long tokens = job.tokensNeededForNext(memory);
    while (tokens > 0 && !memory.reserve(tokens)) {
      EngineJob victim = running.stream().max(NEWEST_LOWEST_PRIORITY).orElseThrow();
      preempt(victim);
      if (victim == job) {
        return false;
      }
    }
    if (tokens > 0) {
      job.reserved(tokens);
    }
    return true;
  }

  private record PlannedRead(EngineJob job, long tokens) {}
}
