package slateslip.simulation.engine;

/** What can happen to an {@link EngineModel}. */
public sealed interface EngineInput {
  /** A request has arrived. */
  record Submit(EngineRequest request) implements EngineInput {}

  /** The caller of a request has gone; unknown ids change nothing. */
  record Cancel(long request) implements EngineInput {}

  /** The time named by {@link EngineOutput.WakeAt} has come. */
  record Wake() implements EngineInput {}
}
