package slateslip.controlplane;

import slateslip.distribution.BackendSession;

/** Result of reading a backend's call. */
sealed interface InstanceReading {
  /** It is valid. */
  record Valid(BackendSession session) implements InstanceReading {}

  /** It is not; {@code message} names the field. */
  record Invalid(String message) implements InstanceReading {}
}
