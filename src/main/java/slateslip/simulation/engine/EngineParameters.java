package slateslip.simulation.engine;

/**
 * The capacity of an engine and the cost of its work. Times are in milliseconds of simulated time.
 *
 * @param slots number of requests that run concurrently
 * @param queueLimit largest number of waiting requests
 * @param memoryTokens memory in tokens, shared by running requests and cached prompt parts
 * @param blockTokens tokens in one block of memory; memory is allocated in whole blocks
 * @param stepMillis fixed time of one decoding step
 * @param stepMillisPerRequest additional time of a step for each running request
 * @param contextMillisPerThousand additional time of a step for each thousand context tokens of the
 *     running requests
 * @param prefillTokensPerMilli prompt tokens prefilled in a millisecond
 * @param pairsMillisPerMillion prefill time for each million pairs of a prompt token and an earlier
 *     token (attention)
 * @param firstTokenMillis additional time of an iteration in which the prefill of at least one
 *     prompt completes
 * @param prefillChunkTokens largest number of prompt tokens prefilled in one iteration
 * @param tokensPerEvent tokens in one event of a stream; the last event may contain fewer
 */
public record EngineParameters(
    int slots,
    int queueLimit,
    long memoryTokens,
    int blockTokens,
    double stepMillis,
    double stepMillisPerRequest,
    double contextMillisPerThousand,
    double prefillTokensPerMilli,
    double pairsMillisPerMillion,
    double firstTokenMillis,
    int prefillChunkTokens,
    int tokensPerEvent) {

  /**
   * The engine of a 70-billion-parameter model on four accelerators, with the values of the
   * deployment pv-slateslip.
   */
  public static final EngineParameters DENSE_70B =
      new EngineParameters(64, 192, 577_468, 16, 3.7, 0.0193, 0.0102, 63.9, 0.367, 1.0, 2_048, 5);

  /**
   * Returns a copy of these parameters with another number of slots, queue limit and memory size in
   * tokens.
   */
  public EngineParameters withCapacity(int newSlots, int newQueueLimit, long newMemoryTokens) {
    return new EngineParameters(
        newSlots,
        newQueueLimit,
        newMemoryTokens,
        blockTokens,
        stepMillis,
        stepMillisPerRequest,
        contextMillisPerThousand,
        prefillTokensPerMilli,
        pairsMillisPerMillion,
        firstTokenMillis,
        prefillChunkTokens,
        tokensPerEvent);
  }
}
