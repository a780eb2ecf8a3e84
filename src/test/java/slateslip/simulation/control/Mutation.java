package slateslip.simulation.control;

import java.util.function.UnaryOperator;
import slateslip.coordination.Ballot;
import slateslip.coordination.PeerMessage;
import slateslip.coordination.View;
import slateslip.protocol.coordination.PeerFrame;

/** A fault in the protocol, put in to see that the checks find it. */
enum Mutation {
  /** The protocol as it is. */
  NONE,
  /** Writes are said to be durable before they are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A witness doesn't tell of the value that it accepted. */
  FORGETS_ACCEPTED_VIEW;

  void apply(SimulatedDisk disk) {
    if (this == ACKNOWLEDGES_BEFORE_SYNC) {
      disk.lie();
    }
  }

  PeerMessage pass(PeerMessage message) {
    if (this == FORGETS_ACCEPTED_VIEW && message instanceof PeerMessage.Promise promise) {
      return new PeerMessage.Promise(
          promise.baseEpoch(), promise.ballot(), Ballot.NONE, View.NONE, promise.status());
    }
    return message;
  }

  PeerFrame arriving(PeerFrame frame) {
    UnaryOperator<PeerFrame> same = UnaryOperator.identity();
    return same.apply(frame);
  }
}
