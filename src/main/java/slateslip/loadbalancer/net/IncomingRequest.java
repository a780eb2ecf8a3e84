package slateslip.loadbalancer.net;

/**
 * A client's request, its names resolved to the indexes of a configuration's settings. Key and hint
 * are 0 if not given.
 */
record IncomingRequest(
    AgentConfig config,
    String id,
    int requestClass,
    int tenant,
    long key,
    long hint,
    long timeoutMs,
    boolean repeated,
    OutgoingRequest forward) {
  IncomingRequest with(byte[] body) {
    return new IncomingRequest(
        config,
        id,
        requestClass,
        tenant,
        key,
        hint,
        timeoutMs,
        repeated,
        new OutgoingRequest(forward.method(), forward.uri(), forward.headers(), body));
  }

  /** The name of its class. */
  String type() {
    return config.classes().get(requestClass);
  }
}
