package slateslip.dataplane.subscription;

import slateslip.distribution.ControlPlaneMessage;
import slateslip.loadbalancer.net.Backoff;

/**
 * State of one control agent and of the stream to it. Times are in milliseconds of the steady
 * clock.
 */
final class ControlStream {
  /** States of the stream. */
  enum State {
    CLOSED,
    DIALLING,
    OPEN
  }

  private static final long MIN_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  final String agent;

  /** Preference of the agent; a lower rank is preferred. */
  final long rank;

  private final Backoff backoff;
  State state = State.CLOSED;

  /** Earliest time at which the agent may be dialled again. */
  long earliestDialMillis;

  /** Time at which the agent was last dialled. */
  long lastDialMillis;

  /**
   * Time of the last received bytes, or of the opening or dialling of the stream if that is later.
   */
  long lastReceivedMillis;

  /** The newest heartbeat on this stream, or null if none has arrived. */
  ControlPlaneMessage.Heartbeat heartbeat;

  /** Start of the current period without interruption in which the agent was alive and current. */
  long currentSinceMillis;

  /** Revision of the agent's session table that was last applied from this stream. */
  long sessionRevision;

  ControlStream(String agent, long rank, long seed) {
    this.agent = agent;
    this.rank = rank;
    this.backoff = new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, seed);
  }

  boolean mayBeDialled(long nowMillis) {
    return state == State.CLOSED && nowMillis >= earliestDialMillis;
  }

  void dialled(long nowMillis) {
    state = State.DIALLING;
    lastDialMillis = nowMillis;
    lastReceivedMillis = nowMillis;
  }

  void opened(long nowMillis) {
    state = State.OPEN;
    lastReceivedMillis = nowMillis;
    heartbeat = null;
    sessionRevision = 0;
  }

  void closed(long nowMillis) {
    state = State.CLOSED;
    heartbeat = null;
    earliestDialMillis = nowMillis + backoff.next();
  }

  void heartbeat(long nowMillis, ControlPlaneMessage.Heartbeat next) {
    backoff.reset();
    if (heartbeat == null || !heartbeat.current() || !next.current()) {
      currentSinceMillis = nowMillis;
    }
    heartbeat = next;
  }

  boolean isOpen() {
    return state == State.OPEN;
  }

  /**
   * Returns whether the stream is open and the agent's last heartbeat says that the agent is
   * current.
   */
  boolean isCurrent() {
    return isOpen() && heartbeat != null && heartbeat.current();
  }

  /**
   * Returns whether the stream is open and the agent's last heartbeat says that the agent may not
   * be current, because it does not reach a majority.
   */
  boolean reportsNotCurrent() {
    return isOpen() && heartbeat != null && !heartbeat.current();
  }

  /**
   * Returns the configuration version in the agent's last heartbeat, or 0 if no heartbeat has
   * arrived.
   */
  long configurationVersion() {
    return heartbeat == null ? 0 : heartbeat.configurationVersion();
  }
}
