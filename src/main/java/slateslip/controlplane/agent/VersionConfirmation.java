package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;

/**
 * Finds out which configuration is the newest: the primary says it after a majority has confirmed
 * that it still is the primary. One question is under way at most; it answers all that were waiting
 * when it was sent, and none that came later. Confined to the event loop.
 */
final class VersionConfirmation {
  /** Between two questions, so that their number does not grow with that of data planes. */
  private static final long MIN_INTERVAL_MICROS = 100_000;

  private static final byte[] NO_BODY = new byte[0];

  private final Scheduler scheduler;
  private final OperatorRequestHandler operatorRequests;
  private final LongSupplier ownVersion;
  private List<LongConsumer> waiting = new ArrayList<>();
  private boolean busy;

  /** A confirmation that has asked nothing yet; {@code ownVersion} is what this agent has. */
  VersionConfirmation(
      Scheduler scheduler, OperatorRequestHandler operatorRequests, LongSupplier ownVersion) {
    this.scheduler = scheduler;
    this.operatorRequests = operatorRequests;
    this.ownVersion = ownVersion;
  }

  /**
   * Calls back with a version that no acknowledged configuration of before this call is newer than;
   * not at all if that cannot be found out.
   */
  void confirm(LongConsumer onConfirmed) {
    waiting.add(onConfirmed);
    if (!busy) {
      ask();
    }
  }

  private void ask() {
    busy = true;
    List<LongConsumer> served = waiting;
    waiting = new ArrayList<>();
    var read = new OperatorRequest(OperatorRequest.Method.GET, ownVersion.getAsLong(), NO_BODY);
    operatorRequests.handleRequest(read, response -> responded(response, served));
  }

  private void responded(OperatorResponse response, List<LongConsumer> served) {
    boolean confirmed =
        response.status() == OperatorResponse.OK || response.status() == OperatorResponse.NOT_FOUND;
    if (confirmed) {
      served.forEach(onConfirmed -> onConfirmed.accept(response.version()));
    }
    scheduler.schedule(MIN_INTERVAL_MICROS, this::askAgain);
  }

  private void askAgain() {
    busy = false;
    if (!waiting.isEmpty()) {
      ask();
    }
  }
}
