package slateslip.distribution.delivery;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers data planes whose active stream has ended a moment ago. Such a data plane is connecting
 * again and does not have a version that was committed since, so a rollout waits for it.
 */
public final class DepartedSubscribers {
  /** Time within which a data plane whose stream has ended connects again, in microseconds. */
  private static final long RECONNECT_MICROS = 1_000_000;

  private final Map<String, Departure> departures = new HashMap<>();

  private record Departure(long acknowledgedVersion, long atMicros) {}

  /**
   * Records the end of an active stream.
   *
   * @param acknowledgedVersion newest version that the data plane has acknowledged
   */
  public void departed(String node, long acknowledgedVersion, long nowMicros) {
    departures.put(node, new Departure(acknowledgedVersion, nowMicros));
  }

  /** Records that a data plane has an active stream again. */
  public void returned(String node) {
    departures.remove(node);
  }

  /**
   * Returns the lowest version that the departed data planes have acknowledged, or {@link
   * DeliveryProgress#NO_SUBSCRIBERS} if there are none.
   */
  public long slowestVersion(long nowMicros) {
    departures.values().removeIf(each -> nowMicros - each.atMicros >= RECONNECT_MICROS);
    return departures.values().stream()
        .mapToLong(Departure::acknowledgedVersion)
        .min()
        .orElse(DeliveryProgress.NO_SUBSCRIBERS);
  }
}
