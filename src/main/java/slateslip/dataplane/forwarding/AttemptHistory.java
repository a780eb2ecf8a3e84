package slateslip.dataplane.forwarding;

import java.util.ArrayList;
import java.util.List;
import slateslip.dataplane.backend.SentBytes;
import slateslip.routing.RouterInput.AttemptOutcome;

/**
 * Records the attempts of one request for log lines: the backend of each attempt, its outcome, and
 * the number of bytes sent if the attempt ended after only a part of the request was sent.
 */
final class AttemptHistory {
  private static final String IN_PROGRESS = "UNDER_WAY";

  private final List<String> backends = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();

  /** Records that the next attempt starts at this backend. */
  void attemptStarted(String backendId) {
    backends.add(backendId);
    outcomes.add(IN_PROGRESS);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param attempt number of the attempt, counted from 0
   * @param sentBytes bytes of the request that the connection had taken when the attempt ended
   */
  void attemptEnded(int attempt, AttemptOutcome outcome, SentBytes sentBytes) {
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
