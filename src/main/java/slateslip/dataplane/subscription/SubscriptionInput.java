package slateslip.dataplane.subscription;

import java.util.List;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.QuotaReport;

/** Inputs of a {@link Subscription}. Control agents are identified by their IPv4 address. */
public sealed interface SubscriptionInput {
  /** A dialled stream has been established. */
  record Connected(String agent) implements SubscriptionInput {}

  /** A stream has ended or could not be established. */
  record Disconnected(String agent) implements SubscriptionInput {}

  /** A message has been received on a stream. */
  record Received(String agent, ControlPlaneMessage message) implements SubscriptionInput {}

  /**
   * Bytes have arrived on a stream; they need not complete a message. An agent of an earlier
   * program version sends a long message whole, and its bytes show that the agent is alive.
   */
  record BytesReceived(String agent) implements SubscriptionInput {}

  /** The list of control agents in the settings has changed. */
  record SeedsChanged(List<String> agents) implements SubscriptionInput {}

  /**
   * Advances the time. The host sends a tick about every {@link Subscription#TICK_MILLIS} ms.
   *
   * @param report quota state of each tenant at this data plane
   */
  record Tick(QuotaReport report) implements SubscriptionInput {}
}
