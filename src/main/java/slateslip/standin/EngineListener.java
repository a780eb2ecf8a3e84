package slateslip.standin;

import slateslip.simulation.engine.EngineOutput;

/** Is told, on the engine's thread, what becomes of one request. */
interface EngineListener {
  /** The request ran no step and will not. */
  void rejected(EngineOutput.Reason reason);

  /** An event was put out. */
  void event(long id, boolean last);

  /** The request was stopped at its deadline after it had begun. */
  void deadlineExceeded();
}
