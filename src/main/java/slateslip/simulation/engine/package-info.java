/**
 * An inference engine in simulated time with continuous batching, chunked prefill, a prefix cache
 * and preemption.
 */
package slateslip.simulation.engine;
