package slateslip.dataplane.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A response of a backend.
 *
 * @param status as sent
 * @param headers without hop-by-hop ones
 * @param body whole body; empty in the head of a stream
 * @param contentLength what {@code Content-Length} says or would say of the whole body
 */
public record BackendResponse(
    HttpResponseStatus status, HttpHeaders headers, byte[] body, long contentLength) {}
