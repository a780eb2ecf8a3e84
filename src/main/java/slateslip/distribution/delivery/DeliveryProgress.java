package slateslip.distribution.delivery;

import java.util.Collection;

/**
 * How far a control agent's data planes are: what the slowest of the active streams has in force.
 */
public record DeliveryProgress(long slowestVersion, long slowestRevision) {
  /** Told where there are no active streams: nobody has to be waited for. */
  public static final long NO_SUBSCRIBERS = Long.MAX_VALUE;

  /** Progress of these streams. */
  public static DeliveryProgress of(Collection<SubscriberDelivery> subscribers) {
    long version = NO_SUBSCRIBERS;
    long revision = NO_SUBSCRIBERS;
    for (SubscriberDelivery subscriber : subscribers) {
      if (subscriber.isActive()) {
        version = Math.min(version, subscriber.acknowledgedVersion());
        revision = Math.min(revision, subscriber.acknowledgedRevision());
      }
    }
    return new DeliveryProgress(version, revision);
  }
}
