/**
 * Runs the load balancer in a simulator that sends events and receives actions as binary frames
 * over standard input and output.
 */
package slateslip.loadbalancer.simulator;
