package slateslip.simulation.dataplane;

import slateslip.routing.RequestTransmission;

/** One attempt that a data plane sends to a backend over one connection. */
final class BackendCall {
  private final DataPlaneHost host;
  private final ClientAttempt content;
  private final long request;
  private final int attempt;
  private final String backendId;
  private final String tenant;
  private final int priority;
  private final long resumeAfter;
  private final long deadlineMicros;
  private final RequestTransmission transmission;
  private boolean closed;

  BackendCall(
      DataPlaneHost host,
      ClientAttempt content,
      slateslip.routing.RouterOutput.SendAttempt sent,
      long resumeAfter,
      long deadlineMicros,
      RequestTransmission transmission) {
    this.host = host;
    this.content = content;
    this.request = sent.request();
    this.attempt = sent.attempt();
    this.backendId = sent.backendId();
    this.tenant = sent.tenant();
    this.priority = sent.priority();
    this.resumeAfter = resumeAfter;
    this.deadlineMicros = deadlineMicros;
    this.transmission = transmission;
  }

  DataPlaneHost host() {
    return host;
  }

  ClientAttempt content() {
    return content;
  }

  String attemptId() {
    return content.attemptId();
  }

  long request() {
    return request;
  }

  int attempt() {
    return attempt;
  }

  /** Returns the id of the backend instance that the data plane addresses. */
  String backendId() {
    return backendId;
  }

  String tenant() {
    return tenant;
  }

  int priority() {
    return priority;
  }

  /** Returns the id of the last event that the client has received, or 0 if there is none. */
  long resumeAfter() {
    return resumeAfter;
  }

  long deadlineMicros() {
    return deadlineMicros;
  }

  /** Returns how much of the request the data plane has sent. */
  RequestTransmission transmission() {
    return transmission;
  }

  /** Returns whether the data plane has closed the connection or has seen the connection end. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }
}
