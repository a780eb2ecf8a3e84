package slateslip.dataplane.forwarding;

import java.util.ArrayList;
import java.util.List;
import slateslip.dataplane.backend.SentBytes;
import slateslip.routing.RouterInput.AttemptOutcome;

/**
 * The attempts of one request as a log line tells them: at which backend, how each ended, and of
 * one that ended with its request partly sent, how many bytes of how many had left.
 */
final class AttemptHistory {
  private static final String UNDER_WAY = "UNDER_WAY";

  private final List<String> backends = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();

  /** The next attempt begins. */
  void began(String backendId) {
    backends.add(backendId);
    outcomes.add(UNDER_WAY);
  }

  /** An attempt has ended. */
  void ended(int attempt, AttemptOutcome outcome, SentBytes sentBytes) {
    if (attempt < outcomes.size()) {
      String kind = outcome.kind().name();
      outcomes.set(attempt, sentBytes.isPartial() ? kind + ":" + sentBytes : kind);
    }
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("[");
    for (int attempt = 0; attempt < backends.size(); attempt++) {
      text.append(attempt == 0 ? "" : " ");
      text.append(backends.get(attempt)).append(':').append(outcomes.get(attempt));
    }
    return text.append(']').toString();
  }
}
