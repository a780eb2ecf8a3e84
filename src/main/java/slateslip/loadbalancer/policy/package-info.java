/**
 * Load-balancing policies for backends that any agent can use, as state machines without sockets,
 * clocks or threads: health, power of two choices, rendezvous hashing and a token bucket for
 * retries. Times are in microseconds of the caller's clock, which never runs backwards.
 */
package slateslip.loadbalancer.policy;
