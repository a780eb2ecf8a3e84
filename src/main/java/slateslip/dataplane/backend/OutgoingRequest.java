package slateslip.dataplane.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;

/**
 * What an attempt sends.
 *
 * @param method as the client sent it
 * @param uri as the client sent it
 * @param headers all but {@code X-Deadline-Ms} and {@code Content-Length}
 * @param body whole body
 * @param attemptId {@code X-Attempt-Id} that the response has to carry; empty for a probe, whose
 *     answer carries none
 * @param deadlineMillis what is left when it is handed over; 0 leaves the header out
 * @param firstEventTimeoutMicros until the first event or whole answer; 0 for none
 * @param idleTimeoutMicros between events after the first; 0 for none
 * @param permitted asked right before the first byte is written; nothing is sent if it says no
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
