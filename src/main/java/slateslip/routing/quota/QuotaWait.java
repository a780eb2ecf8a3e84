package slateslip.routing.quota;

import slateslip.configuration.Tenant;

/**
 * A request that waits for quota of its tenant.
 *
 * @param tenant tenant of the request
 * @param units units that the request needs
 * @param sinceMicros time at which the request began to wait
 * @param untilMicros time at which the request is refused if it has not been admitted before
 */
public record QuotaWait(Tenant tenant, long units, long sinceMicros, long untilMicros) {}
