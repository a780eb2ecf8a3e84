package slateslip.routing.policy;

import java.util.Locale;
import java.util.Optional;

/** A mechanism of the router's decisions that an experiment can switch off. */
public enum Mechanism {
  /** Prompts go to the backend that the hash of their shared part names. */
  PREFIX_AFFINITY,
  /** The first backend of a shared part is taken to have read it for other data planes. */
  SHARED_CACHE,
  /** Other backends are looked at where the first one is not soon enough. */
  SPILL,
  /** What a prompt's reading delays other requests by counts in the choice of a backend. */
  READING_COST,
  /** The wait before a prompt is read counts in the choice of a backend. */
  QUEUE_ESTIMATE,
  /** The speed of a service's engines is learnt from measured times. */
  ENGINE_LEARNING,
  /** Backends of the own zone are preferred. */
  ZONE_PREFERENCE,
  /** What backends tell of their load counts in the choice of a backend. */
  LOAD_REPORTS,
  /** Backends are left out at the first sign that they are down. */
  SUSPICION,
  /** Backends that fail too large a share of their requests are left out. */
  EJECTION,
  /** Backends without traffic are probed. */
  IDLE_PROBES,
  /** Backends whose responses are overdue are probed. */
  OVERDUE_PROBES,
  /** A backend is given more time to answer while its whole service answers late. */
  PATIENCE_UNDER_LOAD,
  /** Streams that make no progress are sent to another backend as well. */
  STREAM_TAKEOVER,
  /** Requests that have not run, or may be repeated, are sent to another backend. */
  RETRIES;

  /** The mechanism of this name, in lower case with hyphens; empty if there is none. */
  public static Optional<Mechanism> named(String name) {
    for (Mechanism mechanism : values()) {
      if (mechanism.label().equals(name)) {
        return Optional.of(mechanism);
      }
    }
    return Optional.empty();
  }

  /** Its name in files and options. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
