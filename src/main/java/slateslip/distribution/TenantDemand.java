package slateslip.distribution;

/**
 * What one tenant has asked of one data plane, counted since the data plane started.
 *
 * @param tenant its name
 * @param wantedUnits tokens (or requests) asked for, admitted or not
 * @param admittedUnits tokens (or requests) admitted
 */
public record TenantDemand(String tenant, long wantedUnits, long admittedUnits) {}
