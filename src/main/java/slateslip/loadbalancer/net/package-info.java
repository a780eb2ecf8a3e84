/**
 * The agent that hosts the load balancer: sockets, HTTP/1.1, discovery and configuration. The load
 * balancer makes all decisions about requests. Everything runs on the agent's single event loop,
 * except that other threads read the configuration file.
 */
package slateslip.loadbalancer.net;
