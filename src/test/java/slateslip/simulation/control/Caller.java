package slateslip.simulation.control;

import slateslip.coordination.ClientResult;

/** A client that sends requests to nodes and receives the responses. */
interface Caller {
  /** Handles the response of a node to the request with the given token. */
  void responded(SimulatedNode node, long token, ClientResult result);
}
