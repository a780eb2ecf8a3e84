package slateslip.dataplane;

import java.util.EnumMap;
import java.util.Map;
import slateslip.eventloop.WakeUpCounter;
import slateslip.routing.AbortReason;

/** Counters of one data plane since its start; written and read on the event loop. */
public final class DataPlaneMetrics {
  /** Turns of the event loop, by cause. */
  public final WakeUpCounter wakeUps = new WakeUpCounter();

  /** Requests read whole. */
  public long requests;

  /** Requests whose client left before its response was complete. */
  public long clientsGone;

  /** Answers of the data plane's own. */
  public long localResponses;

  /** Requests that were read whole and got no response, as their connection ended first. */
  public long dropped;

  /** Streams taken up at another backend. */
  public long resumed;

  /** Events passed on. */
  public long events;

  /** Connections to backends that were dialled. */
  public long dialled;

  /** Attempts that were sent on an idle connection. */
  public long reused;

  /** Attempts that ended when a part of their request had been sent, but not all of it. */
  public long partlySent;

  /** Answers of backends that belonged to no request. */
  public long surplusResponses;

  /** Answers of backends that could not be read or were incomplete. */
  public long malformedResponses;

  private final Map<RequestOutcome, Long> byOutcome = new EnumMap<>(RequestOutcome.class);

  private final Map<AbortReason, Long> brokenOff = new EnumMap<>(AbortReason.class);

  /** A request has ended so. */
  public void ended(RequestOutcome outcome) {
    byOutcome.merge(outcome, 1L, Long::sum);
  }

  /** How many requests have ended so. */
  public long endedWith(RequestOutcome outcome) {
    return byOutcome.getOrDefault(outcome, 0L);
  }

  /** A response was broken off. */
  public void brokenOff(AbortReason reason) {
    brokenOff.merge(reason, 1L, Long::sum);
  }

  /** How many responses were broken off for this reason. */
  public long brokenOffFor(AbortReason reason) {
    return brokenOff.getOrDefault(reason, 0L);
  }

  /** How many responses were broken off. */
  public long brokenOff() {
    return brokenOff.values().stream().mapToLong(Long::longValue).sum();
  }
}
