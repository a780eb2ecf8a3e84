package slateslip.dataplane;

/** Counters of one data plane since its start; written and read on the event loop. */
public final class DataPlaneMetrics {
  /** Requests read whole. */
  public long requests;

  /** Requests whose client left before its response was complete. */
  public long clientsGone;

  /** Answers of the data plane's own. */
  public long localResponses;

  /** Answers that were broken off. */
  public long brokenOff;

  /** Streams taken up at another backend. */
  public long resumed;

  /** Events passed on. */
  public long events;

  /** Connections to backends that were dialled. */
  public long dialled;

  /** Attempts that were sent on an idle connection. */
  public long reused;

  /** Answers of backends that belonged to no request. */
  public long surplusResponses;

  /** Answers of backends that could not be read or were incomplete. */
  public long malformedResponses;
}
