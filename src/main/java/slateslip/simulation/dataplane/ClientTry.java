package slateslip.simulation.dataplane;

import slateslip.routing.RequestFacts;

/**
 * One try of a client's request, as it is sent to a data plane.
 *
 * @param client the request that it belongs to
 * @param requestClass its class
 * @param tenant name of the tenant that holds its key
 * @param tenantIndex number of that tenant
 * @param facts its headers
 * @param workMicros time in a slot of a backend that is no engine
 * @param failsAtBackend whether such a backend answers it with 500
 */
record ClientTry(
    ClientRequest client,
    RequestClass requestClass,
    String tenant,
    int tenantIndex,
    RequestFacts facts,
    long workMicros,
    boolean failsAtBackend) {
  String attemptId() {
    return facts.attemptId();
  }

  /** What it counts as in its tenant's quota. */
  long tokens() {
    return facts.promptTokens() < 0
        ? WorldPlans.UNCACHED_TOKENS
        : facts.promptTokens() + facts.outputTokens();
  }
}
