package slateslip.dataplane.ingress;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import slateslip.routing.RequestAttributes;

/**
 * A client's request, read completely.
 *
 * @param method method as the client sent it
 * @param uri path and query as the client sent them; non-ASCII characters are UTF-8 on the wire
 * @param headers headers that a backend may receive, without hop-by-hop headers and without headers
 *     that only the data plane may set
 * @param body complete body; empty if there is none
 * @param attributes attributes for routing, read from the head of the request
 */
public record ClientRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    RequestAttributes attributes) {}
