/** The adapter by which the simulator drives the load balancer over standard input and output. */
package slateslip.loadbalancer.simulator;
