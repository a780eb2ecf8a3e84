/**
 * Tenant quotas that all data planes share: the local accounting of each data plane, its allocation
 * from the quota allocator and the demand that it reports.
 */
package slateslip.routing.quota;
