package slateslip.simulation.engine;

/**
 * What an engine can do and what its work costs. Times are in milliseconds of simulated time.
 *
 * @param slots requests that run at once
 * @param queueLimit requests that wait at most
 * @param memoryTokens tokens shared by running requests and kept prompt parts
 * @param blockTokens tokens in one block of memory; all memory is handed out in whole blocks
 * @param stepMillis fixed cost of one decoding step
 * @param stepMillisPerRequest cost of each running request in a step
 * @param contextMillisPerThousand cost of each thousand tokens of running context in a step
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param pairsMillisPerMillion cost of each million pairs of a prompt token and one before it
 * @param firstTokenMillis added to an iteration in which some prompt is read to its end
 * @param prefillChunkTokens prompt tokens read between two steps at most
 * @param tokensPerEvent tokens in one event of a stream; the last event may hold fewer
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

  /** A 70-billion-parameter model on four accelerators; figures of the deployment pv-slateslip. */
  public static final EngineParameters DENSE_70B =
      new EngineParameters(64, 192, 577_468, 16, 3.7, 0.0193, 0.0102, 63.9, 0.367, 1.0, 2_048, 5);

  /** The same engine with other room. */
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
