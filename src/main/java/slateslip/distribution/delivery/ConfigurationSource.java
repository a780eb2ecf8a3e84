package slateslip.distribution.delivery;

import java.util.Optional;

/** Gives access to the committed configurations that can be delivered to data planes. */
public interface ConfigurationSource {
  /** Returns the version of the newest configuration; 0 if there is none. */
  long version();

  /** Returns the newest configuration as JSON. Must only be called if there is a configuration. */
  byte[] document();

  /**
   * Returns the patch that changed the configuration of this version into the next version; empty
   * if there is no such patch or if it is no longer kept.
   */
  Optional<Patch> patchFrom(long version);

  /**
   * A committed patch of the configuration.
   *
   * @param toVersion version of the configuration that the patch produced
   * @param body body of the operator's request
   */
  record Patch(long toVersion, byte[] body) {}
}
