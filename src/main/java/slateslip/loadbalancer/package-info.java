/**
 * The client-side load balancer: decides which server gets a request, when a request is retried and
 * when a request is refused. {@link slateslip.loadbalancer.LoadBalancer} is the module's interface:
 * the host reports events and the load balancer returns actions, without sockets, clocks or
 * threads. One instance serves one agent and is called by one thread at a time.
 */
package slateslip.loadbalancer;
