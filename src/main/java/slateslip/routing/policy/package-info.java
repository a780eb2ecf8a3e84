/** Configuration of the router's decisions: the mechanisms in use and their parameters. */
package slateslip.routing.policy;
