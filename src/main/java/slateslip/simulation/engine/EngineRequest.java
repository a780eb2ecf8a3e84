package slateslip.simulation.engine;

import java.util.List;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * A request to an engine.
 *
 * @param id id of the request; must not be in use at this engine
 * @param prompt parts of the prompt in order
 * @param outputTokens total number of tokens to generate, including the tokens of the events up to
 *     {@code resumeAfterEvent}
 * @param priority priority from 0 to 9, 0 is the most urgent
 * @param resumeAfterEvent id of the last event that the client has received, or 0 if there is none
 * @param deadlineMicros simulated time in microseconds at which the engine stops the request
 */
public record EngineRequest(
    long id,
    List<PromptPart> prompt,
    int outputTokens,
    int priority,
    long resumeAfterEvent,
    long deadlineMicros) {
  /** Priority of a request without a priority of its own. */
  public static final int DEFAULT_PRIORITY = 5;

  /** Returns the number of tokens of the complete prompt. */
  public long promptTokens() {
    return prompt.stream().mapToLong(PromptPart::tokens).sum();
  }
}
