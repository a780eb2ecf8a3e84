/**
 * Subscriptions of a data plane to control agents, which send configurations, backends and quota
 * allocations.
 */
package slateslip.dataplane.subscription;
