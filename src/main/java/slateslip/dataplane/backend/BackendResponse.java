package slateslip.dataplane.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete response of a backend, or the head of a stream.
 *
 * @param status status as the backend sent it
 * @param headers headers without hop-by-hop headers and without {@code X-Backend-Load}
 * @param body complete body; empty in the head of a stream
 * @param contentLength length of the complete body in bytes; if the response has no body (for
 *     example to a HEAD request), the value of {@code Content-Length}
 */
public record BackendResponse(
    HttpResponseStatus status, HttpHeaders headers, byte[] body, long contentLength) {}
