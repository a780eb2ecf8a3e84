/** Health of backends as one data plane sees it, on the policy classes of the agent in service. */
package slateslip.routing.health;
