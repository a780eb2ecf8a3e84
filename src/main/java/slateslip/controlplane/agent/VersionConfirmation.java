package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;

/**
 * Queries the primary for the newest configuration version. The primary responds after a majority
 * has confirmed that it is still the primary. At most one query is in flight; its response serves
 * all callers that were waiting when the query was sent, and no later caller. Confined to the event
 * loop.
 */
final class VersionConfirmation {
  /**
   * Minimum time between two queries, so that the number of queries does not grow with the number
   * of data planes.
   */
  private static final long MIN_INTERVAL_MICROS = 100_000;

  private static final byte[] NO_BODY = new byte[0];

  private final Scheduler scheduler;
  private final OperatorRequestHandler operatorRequests;
  private final LongSupplier ownVersion;
  private List<LongConsumer> waiting = new ArrayList<>();

  /** Whether a query is in flight or the minimum time since the last response has not elapsed. */
  private boolean busy;

  /**
   * Creates an instance that has sent no query; {@code ownVersion} returns the configuration
   * version of this agent.
   */
  VersionConfirmation(
      Scheduler scheduler, OperatorRequestHandler operatorRequests, LongSupplier ownVersion) {
    this.scheduler = scheduler;
    this.operatorRequests = operatorRequests;
    this.ownVersion = ownVersion;
  }

  /**
   * Calls {@code onConfirmed} with a version that is at least as new as every configuration
   * acknowledged before this call. The callback is never called if the version cannot be confirmed.
   */
  void confirm(LongConsumer onConfirmed) {
    waiting.add(onConfirmed);
    if (!busy) {
      sendQuery();
    }
  }

  private void sendQuery() {
    busy = true;
    List<LongConsumer> callbacks = waiting;
    waiting = new ArrayList<>();
    var read = new OperatorRequest(OperatorRequest.Method.GET, ownVersion.getAsLong(), NO_BODY);
    operatorRequests.handleRequest(read, response -> responseReceived(response, callbacks));
  }

  private void responseReceived(OperatorResponse response, List<LongConsumer> callbacks) {
    boolean confirmed =
        response.status() == OperatorResponse.OK || response.status() == OperatorResponse.NOT_FOUND;
    if (confirmed) {
      callbacks.forEach(onConfirmed -> onConfirmed.accept(response.version()));
    }
    scheduler.schedule(MIN_INTERVAL_MICROS, this::queryAgain);
  }

  private void queryAgain() {
    busy = false;
    if (!waiting.isEmpty()) {
      sendQuery();
    }
  }
}
