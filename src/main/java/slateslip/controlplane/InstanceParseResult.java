package slateslip.controlplane;

import slateslip.distribution.BackendSession;

/** Result of parsing the body of a backend's heartbeat. */
sealed interface InstanceParseResult {
  /** The heartbeat is valid. */
  record Valid(BackendSession session) implements InstanceParseResult {}

  /**
   * The heartbeat is invalid; {@code message} is the error message for the backend and names the
   * invalid field.
   */
  record Invalid(String message) implements InstanceParseResult {}
}
