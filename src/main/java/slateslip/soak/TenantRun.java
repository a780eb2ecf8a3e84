package slateslip.soak;

/**
 * A request of the limited tenant that a backend executed.
 *
 * @param atMillis time when the backend received the request, in milliseconds since the start of
 *     the run
 * @param units units that the request consumes of the quota
 */
record TenantRun(long atMillis, long units) {}
