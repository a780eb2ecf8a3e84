package slateslip.loadbalancer.net;

/**
 * A client's request, with the names of its class and tenant resolved to indexes of the settings of
 * {@code config}. {@code key} is 0 without an affinity key, {@code hint} is 0 without a work hint.
 */
record IncomingRequest(
    AgentConfig config,
    String id,
    int requestClass,
    int tenant,
    long key,
    long workHint,
    long timeoutMs,
    boolean clientRetry,
    OutgoingRequest forward) {
  IncomingRequest withBody(byte[] body) {
    return new IncomingRequest(
        config,
        id,
        requestClass,
        tenant,
        key,
        workHint,
        timeoutMs,
        clientRetry,
        new OutgoingRequest(forward.method(), forward.uri(), forward.headers(), body));
  }

  /** Returns the name of the request's class. */
  String className() {
    return config.classes().get(requestClass);
  }
}
