package slateslip.simulation.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Simulates an inference engine with continuous batching, chunked prefill, a prefix cache,
 * priorities and preemption.
 *
 * <p>The engine is a state machine in simulated time and works in iterations. An iteration prefills
 * up to one chunk of prompt tokens, in order of priority, and then generates one token for every
 * request whose prefill is complete. Requests are admitted, removed and preempted between
 * iterations.
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
  private final List<PlannedPrefill> plannedPrefills = new ArrayList<>();
  private final List<EngineJob> plannedTokens = new ArrayList<>();
  private List<EngineOutput> outputs = new ArrayList<>();
  private long iterationEndMicros = IDLE;
  private long arrivals;

  /** Creates an idle engine with an empty cache. */
  public EngineModel(EngineParameters parameters) {
    this.parameters = parameters;
    this.memory = new PrefixCache(parameters.memoryTokens(), parameters.blockTokens());
  }

  /**
   * Handles one input.
   *
   * @param nowMicros simulated time in microseconds, not earlier than the time of the previous call
   * @param input the input
   * @return the outputs of the engine in order
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

  /** Returns the number of requests that occupy a slot. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the number of requests that wait for a slot. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the memory that cannot be evicted, in tokens. */
  public long lockedTokens() {
    return memory.lockedTokens();
  }

  /** Returns whether the cache holds a prompt part. */
  public boolean isCached(long partId) {
    return memory.isCached(partId);
  }

  private void submit(EngineRequest request) {
    boolean tooLarge = totalMemoryTokens(request) > parameters.memoryTokens();
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

  private long totalMemoryTokens(EngineRequest request) {
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
      job.releaseMemory(memory);
    }
  }

  private void startIteration(long nowMicros) {
    plannedPrefills.clear();
    plannedTokens.clear();
    expire(nowMicros);
    admit();
    double millis = planPrefills() + planTokens();
    boolean nothingToDo = plannedPrefills.isEmpty() && plannedTokens.isEmpty();
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
                next.request().id(), next.cachedTokens(), next.tokensToPrefill()));
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
    victim.releaseMemory(memory);
    waiting.add(victim);
    outputs.add(new EngineOutput.Preempted(victim.request().id()));
  }

  private double planPrefills() {
    long budget = parameters.prefillChunkTokens();
    double millis = 0;
    boolean someComplete = false;
    for (EngineJob job : running) {
      if (!job.isPrefilling() || budget == 0) {
        continue;
      }
      long tokens = Math.min(budget, job.tokensToPrefill());
      budget -= tokens;
      plannedPrefills.add(new PlannedPrefill(job, tokens));
      double pairs = tokens * (job.contextTokens() + tokens / 2.0);
      millis += tokens / parameters.prefillTokensPerMilli();
      millis += pairs / 1e6 * parameters.pairsMillisPerMillion();
      someComplete |= tokens == job.tokensToPrefill();
    }
    return someComplete ? millis + parameters.firstTokenMillis() : millis;
  }

  private double planTokens() {
    long context = 0;
    for (EngineJob job : running) {
      if (!job.isPrefilling()) {
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
    for (PlannedPrefill planned : List.copyOf(plannedPrefills)) {
      if (!running.contains(planned.job())) {
        continue;
      }
      planned.job().prefill(planned.tokens(), memory);
      if (!planned.job().isPrefilling()) {
        emitToken(planned.job());
      }
    }
    for (EngineJob job : List.copyOf(plannedTokens)) {
      if (running.contains(job) && !job.isPrefilling()) {
        emitToken(job);
      }
    }
  }

  private void emitToken(EngineJob job) {
    if (!reserveForNextToken(job)) {
      return;
    }
    if (!job.started()) {
      outputs.add(new EngineOutput.Started(job.request().id()));
    }
    boolean eventDone = job.generateToken();
    if (eventDone) {
      outputs.add(new EngineOutput.Event(job.request().id(), job.eventId(), job.complete()));
    }
    if (job.complete()) {
      remove(job);
    }
  }

  /**
   * Reserves the memory for the next token and preempts other requests if necessary; returns false
   * if the request itself was preempted.
   */
  private boolean reserveForNextToken(EngineJob job) {
    long tokens = job.tokensNeededForNext(memory);
    while (tokens > 0 && !memory.reserve(tokens)) {
      EngineJob victim = running.stream().max(NEWEST_LOWEST_PRIORITY).orElseThrow();
      preempt(victim);
      if (victim == job) {
        return false;
      }
    }
    if (tokens > 0) {
      job.addReserved(tokens);
    }
    return true;
  }

  private record PlannedPrefill(EngineJob job, long tokens) {}
}
