package slateslip.dataplane.subscription;

import java.util.List;
import slateslip.configuration.FleetConfiguration;
import slateslip.distribution.BackendSession;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;

/** What a {@link Subscription} asks of its host. */
public sealed interface SubscriptionOutput {
  /** Open a stream; it ends in {@code Connected} or {@code Disconnected}. */
  record Dial(String agent) implements SubscriptionOutput {}

  /** Close a stream, also one being opened; nothing more is told of it. */
  record Close(String agent) implements SubscriptionOutput {}

  /** Send a message on a stream. */
  record Send(String agent, DataPlaneMessage message) implements SubscriptionOutput {}

  /** Put this configuration into force; it is newer than every one before. */
  record Configure(FleetConfiguration configuration) implements SubscriptionOutput {}

  /** The whole list of registered backends has changed. */
  record ListBackends(List<BackendSession> backends) implements SubscriptionOutput {}

  /** This data plane's share of the fleet-wide limits. */
  record Share(QuotaAllocation shares) implements SubscriptionOutput {}

  /** Requests with keys may be sent until this time of the steady clock. */
  record ExtendKeyLease(long untilMillis) implements SubscriptionOutput {}

  /** A line for the log. */
  record Report(String line) implements SubscriptionOutput {}
}
