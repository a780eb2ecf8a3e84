package slateslip.standin;

import slateslip.simulation.engine.EngineOutput;

/** Receives the progress of one request. All methods are called on the engine's thread. */
interface EngineListener {
  /** Called when the engine rejects the request without having executed any part of it. */
  void rejected(EngineOutput.Reason reason);

  /**
   * Called when the engine produces an event of the response. {@code last} marks the final event.
   */
  void event(long id, boolean last);

  /**
   * Called when the engine stops the request at its deadline after the request has started to run.
   */
  void deadlineExceeded();
}
