package slateslip.dataplane.subscription;

import java.util.OptionalLong;
import slateslip.configuration.ConfigurationDocument;
import slateslip.distribution.ControlPlaneMessage;

/**
 * Determines until when requests with API keys may be served, from the pongs of control agents. A
 * lease is needed if it has a duration and the configuration in force has tenants.
 */
final class KeyLease {
  private final long durationMillis;

  /**
   * Creates the rule of a data plane.
   *
   * @param durationMillis duration of a lease in milliseconds; 0 if no lease is needed
   */
  KeyLease(long durationMillis) {
    this.durationMillis = durationMillis;
  }

  /**
   * Returns whether keys are leased.
   *
   * @param inForce the configuration in force, or null if there is none
   */
  boolean isNeeded(ConfigurationDocument inForce) {
    return durationMillis > 0 && inForce != null && inForce.hasTenants();
  }

  /**
   * Returns the time of the steady clock in milliseconds until which the lease is extended by a
   * pong; empty if the pong does not confirm the configuration in force.
   *
   * <p>The agent's last heartbeat before the pong names a version that is at least as new as every
   * version that was acknowledged before the ping was sent. If this version is in force here, every
   * newer version was acknowledged after the ping was sent, so the lease starts at the time of the
   * ping. An agent with an older version may not know any key yet; its pong confirms nothing.
   *
   * @param inForce the configuration in force, or null if there is none
   */
  OptionalLong extendedUntilMillis(
      ControlStream stream, ControlPlaneMessage.Pong pong, ConfigurationDocument inForce) {
    boolean confirmed =
        isNeeded(inForce)
            && stream.heartbeat != null
            && stream.configurationVersion() == inForce.version();
    return confirmed ? OptionalLong.of(pong.nonce() + durationMillis) : OptionalLong.empty();
  }
}
