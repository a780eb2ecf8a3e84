/**
 * Decisions about backends that hold for any agent, as state machines without sockets, clocks or
 * threads: health, the pick by two random draws, consistent choice by a key and the allowance for
 * retries. Times are in microseconds of the caller's clock, which never runs backwards.
 */
package slateslip.loadbalancer.policy;
