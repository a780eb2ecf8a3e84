package slateslip.simulation.dataplane;

import slateslip.routing.RequestAttributes;

/**
 * One attempt of a client's request, as the client sends the attempt to a data plane.
 *
 * @param client the request that the attempt belongs to
 * @param requestClass class of the request
 * @param tenant name of the tenant that owns the request's API key
 * @param tenantIndex index of that tenant in the plan
 * @param attributes headers of the request
 * @param workMicros time in microseconds that the request occupies a slot of a backend without an
 *     engine
 * @param failsAtBackend whether a backend without an engine responds with status 500
 */
record ClientAttempt(
    ClientRequest client,
    RequestClass requestClass,
    String tenant,
    int tenantIndex,
    RequestAttributes attributes,
    long workMicros,
    boolean failsAtBackend) {
  String attemptId() {
    return attributes.attemptId();
  }

  /** Returns the tokens that the attempt is charged to the quota of its tenant. */
  long tokens() {
    return attributes.promptTokens() < 0
        ? WorldPlans.UNCACHED_TOKENS
        : attributes.promptTokens() + attributes.outputTokens();
  }
}
