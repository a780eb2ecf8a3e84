/**
 * Health of backends as one data plane observes it, based on the health policy classes of the load
 * balancer.
 */
package slateslip.routing.health;
