package slateslip.routing.policy;

import java.util.Locale;
import java.util.Optional;

/** A mechanism of the router's decisions that experiments can disable. */
public enum Mechanism {
  /** A prompt is sent preferably to the backend that the hash of its shared part selects. */
  PREFIX_AFFINITY,
  /**
   * The preferred backend of a shared prompt part is assumed to have cached the part already for
   * other data planes.
   */
  SHARED_CACHE,
  /**
   * Other backends are considered if the expected first-token latency at the preferred backend is
   * too high.
   */
  SPILL,
  /**
   * The choice of a backend takes into account by how much the prefill of a prompt delays other
   * requests.
   */
  READING_COST,
  /** The choice of a backend takes into account how long a prompt would wait before its prefill. */
  QUEUE_ESTIMATE,
  /** The speed of a service's engines is learned from measured first-token latencies. */
  ENGINE_LEARNING,
  /** Backends in the zone of the data plane are preferred. */
  ZONE_PREFERENCE,
  /** The choice of a backend takes into account the load that backends report. */
  LOAD_REPORTS,
  /**
   * Backends that are suspected to be down are avoided, even before a health check has marked them
   * as unhealthy.
   */
  SUSPICION,
  /** Backends that fail too large a fraction of their requests are ejected for a limited time. */
  EJECTION,
  /** Idle backends are probed. */
  IDLE_PROBES,
  /** Backends whose responses are overdue are probed. */
  OVERDUE_PROBES,
  /** The timeouts of a backend are extended while all backends of its service respond late. */
  PATIENCE_UNDER_LOAD,
  /** A stream that makes no progress is sent to a second backend as well. */
  STREAM_TAKEOVER,
  /** Requests that have not run or that may be repeated are retried at another backend. */
  RETRIES;

  /** Returns the mechanism with this label; empty if there is none. */
  public static Optional<Mechanism> fromLabel(String name) {
    for (Mechanism mechanism : values()) {
      if (mechanism.label().equals(name)) {
        return Optional.of(mechanism);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the name of the mechanism in files and command-line options: lower case with hyphens.
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
