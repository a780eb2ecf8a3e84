/**
 * The client-side load balancer: decides which endpoint gets a request, when it is retried and when
 * it is rejected. {@link slateslip.loadbalancer.LoadBalancer} is its boundary: events in, actions
 * out, no socket, clock or thread. One instance serves one agent, from one thread at a time.
 */
package slateslip.loadbalancer;
