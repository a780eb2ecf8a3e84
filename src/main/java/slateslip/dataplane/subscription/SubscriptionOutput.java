package slateslip.dataplane.subscription;

import java.util.List;
import slateslip.configuration.FleetConfiguration;
import slateslip.distribution.BackendSession;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;

/** Actions that a {@link Subscription} requests from its host. */
public sealed interface SubscriptionOutput {
  /** Opens a stream to an agent; the result is {@code Connected} or {@code Disconnected}. */
  record Dial(String agent) implements SubscriptionOutput {}

  /** Closes a stream, also while it is being established; no {@code Disconnected} follows. */
  record Close(String agent) implements SubscriptionOutput {}

  /** Sends a message on the stream to an agent. */
  record Send(String agent, DataPlaneMessage message) implements SubscriptionOutput {}

  /** Puts a configuration into force; its version is higher than all versions before. */
  record Configure(FleetConfiguration configuration) implements SubscriptionOutput {}

  /** Replaces the list of registered backends. */
  record ReplaceBackends(List<BackendSession> backends) implements SubscriptionOutput {}

  /** Applies this data plane's allocation of the fleet-wide quotas. */
  record ApplyAllocation(QuotaAllocation allocation) implements SubscriptionOutput {}

  /** Extends the lease for requests with keys to this time of the steady clock, in milliseconds. */
  record ExtendKeyLease(long untilMillis) implements SubscriptionOutput {}

  /** Writes a line to the log. */
  record LogLine(String line) implements SubscriptionOutput {}
}
