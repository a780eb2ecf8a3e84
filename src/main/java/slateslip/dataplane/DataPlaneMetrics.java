package slateslip.dataplane;

import java.util.EnumMap;
import java.util.Map;
import slateslip.eventloop.WakeUpCounter;
import slateslip.routing.AbortReason;

/** Counters of one data plane since the start of the process. Confined to the event loop. */
public final class DataPlaneMetrics {
  /** Number of turns of the event loop, by cause. */
  public final WakeUpCounter wakeUps = new WakeUpCounter();

  /** Number of requests that were read completely. */
  public long requests;

  /** Number of requests whose client disconnected before the response was complete. */
  public long clientsGone;

  /** Number of responses that the data plane generated itself. */
  public long localResponses;

  /**
   * Number of requests that were read completely and got no response, because their connection
   * ended first.
   */
  public long dropped;

  /** Number of streams that were resumed at another backend. */
  public long resumed;

  /** Number of events that were forwarded to clients. */
  public long events;

  /** Number of connections to backends that were dialled, whether or not they were established. */
  public long dialled;

  /** Number of attempts that were sent on a connection that had been idle. */
  public long reused;

  /**
   * Number of attempts that ended when a part of their request had been sent, but not the complete
   * request.
   */
  public long partlySent;

  /** Number of backend responses that belonged to no request. */
  public long surplusResponses;

  /** Number of backend responses that were malformed or incomplete. */
  public long malformedResponses;

  private final Map<RequestOutcome, Long> byOutcome = new EnumMap<>(RequestOutcome.class);

  private final Map<AbortReason, Long> brokenOff = new EnumMap<>(AbortReason.class);

  /** Counts a request that ended with this outcome. */
  public void ended(RequestOutcome outcome) {
    byOutcome.merge(outcome, 1L, Long::sum);
  }

  /** Returns the number of requests that ended with this outcome. */
  public long endedWith(RequestOutcome outcome) {
    return byOutcome.getOrDefault(outcome, 0L);
  }

  /** Counts a response that was broken off for this reason. */
  public void brokenOff(AbortReason reason) {
    brokenOff.merge(reason, 1L, Long::sum);
  }

  /** Returns the number of responses that were broken off for this reason. */
  public long brokenOffFor(AbortReason reason) {
    return brokenOff.getOrDefault(reason, 0L);
  }

  /** Returns the number of responses that were broken off for any reason. */
  public long brokenOff() {
    return brokenOff.values().stream().mapToLong(Long::longValue).sum();
  }
}
