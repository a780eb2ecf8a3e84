package slateslip.routing.quota;

/**
 * State of one tenant's quota at one data plane, for operators.
 *
 * @param tenant name of the tenant
 * @param admittedUnits units admitted since the start of the process
 * @param returnedUnits admitted units that were returned because no backend ran the request
 * @param refusedUnits units refused since the start of the process
 * @param windowUnits units that count as spent in the current window
 * @param waitingUnits units of the requests that wait for the allocator
 * @param fraction fraction of the fleet's quota that this data plane may use now
 */
public record TenantQuotaStatus(
    String tenant,
    long admittedUnits,
    long returnedUnits,
    long refusedUnits,
    long windowUnits,
    long waitingUnits,
    double fraction) {}
