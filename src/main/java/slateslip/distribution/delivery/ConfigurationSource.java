package slateslip.distribution.delivery;

import java.util.Optional;

/** The committed configurations that can be delivered. */
public interface ConfigurationSource {
  /** Version of the newest one; 0 if there is none. */
  long version();

  /** The newest one as JSON; only if there is one. */
  byte[] document();

  /** The patch that led on from a version, if there was one and it is still known. */
  Optional<Patch> patchFrom(long version);

  /**
   * A committed patch.
   *
   * @param toVersion version that it made
   * @param body of the operator's call
   */
  record Patch(long toVersion, byte[] body) {}
}
