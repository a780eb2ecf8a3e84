package slateslip.simulation.control;

import slateslip.coordination.ClientResult;

/** Makes calls to nodes. */
interface Caller {
  /** A call was answered. */
  void responded(SimulatedNode node, long token, ClientResult result);
}
