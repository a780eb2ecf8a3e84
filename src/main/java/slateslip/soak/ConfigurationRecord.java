package slateslip.soak;

/**
 * Result of one change or one read of the configuration.
 *
 * @param sentMillis time when the request was first sent, in milliseconds since the start of the
 *     run
 * @param endMillis time when the last response arrived, in milliseconds since the start of the run
 * @param version configuration version that was sent or read
 * @param body configuration document that was sent or read
 * @param kind kind of the request and its result
 */
record ConfigurationRecord(long sentMillis, long endMillis, long version, String body, Kind kind) {
  /** Kind of a configuration request and its result. */
  enum Kind {
    /** A change that a control agent acknowledged. */
    ACKNOWLEDGED,
    /**
     * A change that was neither acknowledged nor refused, so that it may or may not be in force.
     */
    UNCLEAR,
    /** A change that a control agent refused because it was based on another version. */
    REFUSED,
    /** A successful read of the configuration. */
    READ
  }
}
