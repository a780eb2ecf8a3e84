package slateslip.simulation.engine;

/** What an {@link EngineModel} tells its host. */
public sealed interface EngineOutput {
  /** Why a request was rejected without having run. */
  enum Reason {
    /** No slot and no place in the queue, or more tokens than the whole memory. */
    FULL,
    /** Its deadline passed before its first token. */
    DEADLINE
  }

  /** The request did not run and will not. */
  record Rejected(long request, Reason reason) implements EngineOutput {}

  /**
   * The request was given a slot, perhaps not for the first time.
   *
   * @param cachedTokens prompt tokens found in the cache
   * @param readTokens prompt tokens to be read, those put out before a preemption included
   */
  record Admitted(long request, long cachedTokens, long readTokens) implements EngineOutput {}

  /** The request has put out its first token here: from now on it has run. */
  record Started(long request) implements EngineOutput {}

  /**
   * One event of a stream.
   *
   * @param eventId counted from 1 within the whole stream
   * @param last whether the stream is complete
   */
  record Event(long request, long eventId, boolean last) implements EngineOutput {}

  /** A running request gave way and waits again. */
  record Preempted(long request) implements EngineOutput {}

  /** A request that ran was stopped at its deadline. */
  record DeadlineExceeded(long request) implements EngineOutput {}

  /** Send {@link EngineInput.Wake} at this time; an earlier wish no longer stands. */
  record WakeAt(long atMicros) implements EngineOutput {}
}
