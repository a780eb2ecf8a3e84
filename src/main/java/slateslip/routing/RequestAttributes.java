package slateslip.routing;

import java.util.List;

/**
 * What a request says of itself.
 *
 * @param attemptId {@code X-Attempt-Id}; empty if there is none
 * @param host {@code Host} as sent
 * @param path path without the query
 * @param credential {@code X-Credential}; null if there is none
 * @param deadlineMillis {@code X-Deadline-Ms}; 0 if there is none
 * @param promptTokens first number of {@code X-Token-Usage}; -1 if there is none
 * @param outputTokens second number of {@code X-Token-Usage}; -1 if there is none
 * @param prompt parts of the prompt in order ({@code X-Prompt-Prefix}); empty if there are none
 * @param lastEventId {@code Last-Event-Id} of the client; -1 if there is none
 * @param model {@code X-Model}; empty if there is none
 * @param bodyBytes length of the body
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
  /** One part of a prompt: its id and its length in tokens. */
  public record PromptPart(long id, int tokens) {}
}
