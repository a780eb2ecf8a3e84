package slateslip.routing;

import java.util.List;

/**
 * Attributes of a request as its client stated them in the request line and the headers.
 *
 * @param attemptId {@code X-Attempt-Id}; empty if there is none
 * @param host {@code Host} header, unchanged
 * @param path path of the request without the query
 * @param credential {@code X-Credential}; null if there is none
 * @param deadlineMillis {@code X-Deadline-Ms}; 0 if there is none
 * @param promptTokens first number of {@code X-Token-Usage}, the tokens of the prompt; -1 if there
 *     is none
 * @param outputTokens second number of {@code X-Token-Usage}, the tokens of the output; -1 if there
 *     is none
 * @param prompt parts of the prompt in order ({@code X-Prompt-Prefix}); empty if there are none
 * @param lastEventId {@code Last-Event-Id} of the client; -1 if there is none
 * @param model {@code X-Model}; empty if there is none
 * @param bodyBytes length of the body in bytes
 */
public record RequestAttributes(
    String attemptId,
    String host,
    String path,
    String credential,
    long deadlineMillis,
    long promptTokens,
    long outputTokens,
    List<PromptPart> prompt,
    long lastEventId,
    String model,
    int bodyBytes) {
  /**
   * A part of a prompt, with its id and its length in tokens. Requests that share a part name the
   * same id.
   */
  public record PromptPart(long id, int tokens) {}
}
