/** Which mechanisms the router uses, and the parameters of its decisions. */
package slateslip.routing.policy;
