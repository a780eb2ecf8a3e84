package slateslip.simulation.engine;

/** An output of an {@link EngineModel}. */
public sealed interface EngineOutput {
  /** The reason why a request was rejected without being executed. */
  enum Reason {
    /** All slots and the queue are full, or the request needs more than the total memory. */
    FULL,
    /** The deadline of the request passed before its first token. */
    DEADLINE
  }

  /** The engine has rejected the request and does not execute it. */
  record Rejected(long request, Reason reason) implements EngineOutput {}

  /**
   * The request was given a slot; a preempted request is admitted again.
   *
   * @param cachedTokens number of prompt tokens found in the cache
   * @param readTokens number of tokens to prefill, at least 1, including tokens that were generated
   *     before a preemption or a resumption
   */
  record Admitted(long request, long cachedTokens, long readTokens) implements EngineOutput {}

  /**
   * The engine has generated its first token for the request; from now on the request counts as
   * executed.
   */
  record Started(long request) implements EngineOutput {}

  /**
   * One event of a stream.
   *
   * @param eventId number of the event within the complete stream, counted from 1
   * @param last whether the event completes the stream
   */
  record Event(long request, long eventId, boolean last) implements EngineOutput {}

  /** A running request was preempted and waits again. */
  record Preempted(long request) implements EngineOutput {}

  /** A request that had already generated tokens was stopped at its deadline. */
  record DeadlineExceeded(long request) implements EngineOutput {}

  /**
   * Asks the host to send {@link EngineInput.Wake} at this time; replaces the previous wake-up
   * time.
   */
  record WakeAt(long atMicros) implements EngineOutput {}
}
