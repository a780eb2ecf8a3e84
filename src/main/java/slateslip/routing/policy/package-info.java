/** Which mechanisms the router's decisions use; all of them, but in experiments. */
package slateslip.routing.policy;
