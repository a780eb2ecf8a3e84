package slateslip.controlplane;

import slateslip.distribution.BackendSession;

/** Result of reading a backend's call. */
sealed interface InstanceParseResult {
  /** It is valid. */
  record Valid(BackendSession session) implements InstanceParseResult {}

  /** It is not; {@code message} names the field. */
  record Invalid(String message) implements InstanceParseResult {}
}
