package slateslip.simulation.dataplane;

import slateslip.routing.RequestTransmission;

/** One attempt on its way: what a data plane sends to a backend over one connection. */
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

  /** The instance that it is meant for. */
  String backendId() {
    return backendId;
  }

  String tenant() {
    return tenant;
  }

  int priority() {
    return priority;
  }

  /** Id of the last event that the client has; 0 if none. */
  long resumeAfter() {
    return resumeAfter;
  }

  long deadlineMicros() {
    return deadlineMicros;
  }

  /** How far its request has left the data plane. */
  RequestTransmission transmission() {
    return transmission;
  }

  /** Whether the data plane has closed the connection, or has seen it end. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }
}
