package slateslip.simulation.engine;

import java.util.List;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * A request as an engine sees it.
 *
 * @param id identifies it at this engine; not in use there
 * @param prompt parts of the prompt in order
 * @param outputTokens tokens to be put out in all, those before {@code resumeAfterEvent} included
 * @param priority 0 to 9, 0 most urgent
 * @param resumeAfterEvent id of the last event that the client has; 0 if none
 * @param deadlineMicros when it is given up
 */
public record EngineRequest(
    long id,
    List<PromptPart> prompt,
    int outputTokens,
    int priority,
    long resumeAfterEvent,
    long deadlineMicros) {
  /** Priority of a request that names none. */
  public static final int DEFAULT_PRIORITY = 5;

  /** Tokens of the whole prompt. */
  public long promptTokens() {
    return prompt.stream().mapToLong(PromptPart::tokens).sum();
  }
}
