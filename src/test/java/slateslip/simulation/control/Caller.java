package slateslip.simulation.control;

import slateslip.coordination.ClientResult;

/** Makes calls to nodes. */
interface Caller {
  /** A call was answered. */
  void answered(SimulatedNode node, long token, ClientResult result);
}
