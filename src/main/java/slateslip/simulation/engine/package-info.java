/** A model engine in simulated time: batches, chunked prefill, prompt cache and preemption. */
package slateslip.simulation.engine;
