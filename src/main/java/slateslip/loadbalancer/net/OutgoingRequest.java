package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** A request for a backend. Method, target and body are those of the client's request. */
record OutgoingRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
