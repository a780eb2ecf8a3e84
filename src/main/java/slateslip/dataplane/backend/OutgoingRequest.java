package slateslip.dataplane.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;

/**
 * Request that an attempt sends to a backend.
 *
 * @param method method as the client sent it
 * @param uri path and query as the client sent them
 * @param headers all headers except {@code X-Deadline-Ms} and {@code Content-Length}
 * @param body complete body
 * @param attemptId {@code X-Attempt-Id} that the response must carry; empty for a health probe,
 *     whose response carries none
 * @param deadlineMillis time until the deadline when the request is passed to the attempt, in
 *     milliseconds; 0 omits {@code X-Deadline-Ms}
 * @param firstEventTimeoutMicros timeout until the first event or the complete response, in
 *     microseconds; 0 for none
 * @param idleTimeoutMicros timeout between events after the first event, in microseconds; 0 for
 *     none
 * @param permitted checked immediately before the first byte is written; nothing is sent if the
 *     supplier returns false
 */
public record OutgoingRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    String attemptId,
    long deadlineMillis,
    long firstEventTimeoutMicros,
    long idleTimeoutMicros,
    BooleanSupplier permitted) {}
