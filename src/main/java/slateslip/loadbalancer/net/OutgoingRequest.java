package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** What is sent: method, target and body go on as they came. */
record OutgoingRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
