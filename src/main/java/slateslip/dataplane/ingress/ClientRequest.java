package slateslip.dataplane.ingress;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import slateslip.routing.RequestAttributes;

/**
 * A client's request, read whole.
 *
 * @param method as sent
 * @param uri path and query as sent; letters beyond ASCII are UTF-8 on the wire
 * @param headers those that a backend may receive; what concerns one connection or is the data
 *     plane's to set is left out
 * @param body whole body; empty if there is none
 * @param attributes what the request says of itself
 */
public record ClientRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    RequestAttributes attributes) {}
