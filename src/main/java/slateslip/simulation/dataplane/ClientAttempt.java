package slateslip.simulation.dataplane;

import slateslip.routing.RequestAttributes;

/**
 * One try of a client's request, as it is sent to a data plane.
 *
 * @param client the request that it belongs to
 * @param requestClass its class
 * @param tenant name of the tenant that holds its key
 * @param tenantIndex number of that tenant
 * @param attributes its headers
 * @param workMicros time in a slot of a backend that is no engine
 * @param failsAtBackend whether such a backend answers it with 500
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

  /** What it counts as in its tenant's quota. */
  long tokens() {
    return attributes.promptTokens() < 0
        ? WorldPlans.UNCACHED_TOKENS
        : attributes.promptTokens() + attributes.outputTokens();
  }
}
