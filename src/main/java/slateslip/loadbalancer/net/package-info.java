/**
 * The agent around the load balancer: sockets, HTTP/1.1, discovery, configuration. It decides
 * nothing about requests. Everything runs on the agent's one event loop, except reading of the
 * configuration file.
 */
package slateslip.loadbalancer.net;
