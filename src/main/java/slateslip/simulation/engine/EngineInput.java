package slateslip.simulation.engine;

/** An input of an {@link EngineModel}. */
public sealed interface EngineInput {
  /** A new request. */
  record Submit(EngineRequest request) implements EngineInput {}

  /** Cancels a request because its caller has disconnected; an unknown id has no effect. */
  record Cancel(long request) implements EngineInput {}

  /** Signals that the time of the last {@link EngineOutput.WakeAt} has come. */
  record Wake() implements EngineInput {}
}
