package slateslip.distribution.delivery;

import java.util.Collection;

/**
 * Describes the delivery progress of a control agent: the lowest configuration version and the
 * lowest session revision that its active data plane streams have acknowledged.
 *
 * @param slowestVersion lowest acknowledged configuration version, or {@link #NO_SUBSCRIBERS}
 * @param slowestRevision lowest acknowledged session revision, or {@link #NO_SUBSCRIBERS}
 */
public record DeliveryProgress(long slowestVersion, long slowestRevision) {
  /**
   * Stands for both values if there are no active streams, so that no data plane has to be awaited.
   */
  public static final long NO_SUBSCRIBERS = Long.MAX_VALUE;

  /** Returns the progress of the active streams among these; inactive streams do not count. */
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

  /** Returns this progress with a version of data planes that are connecting again included. */
  public DeliveryProgress including(long departedVersion) {
    return new DeliveryProgress(Math.min(slowestVersion, departedVersion), slowestRevision);
  }
}
