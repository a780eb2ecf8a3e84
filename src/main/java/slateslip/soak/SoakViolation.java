package slateslip.soak;

/**
 * A violation of one of the rules that a soak test checks.
 *
 * @param rule rule that was violated
 * @param atMillis time of the violation in milliseconds since the start of the run, or 0 if it has
 *     no single time
 * @param detail description of the request, configuration read or process
 */
record SoakViolation(Rule rule, long atMillis, String detail) {
  /** Rules that a soak test checks. */
  enum Rule {
    /**
     * A request that a data plane had read or a backend had executed did not get a complete
     * response.
     */
    LOST,
    /** A response does not belong to the request, or its content is not the expected one. */
    MIXED,
    /** A request that may be executed only once was executed more than once. */
    RAN_TWICE,
    /** A request was executed although the status of its response means that it was not. */
    PROMISE,
    /**
     * A read returned a configuration older than an acknowledged one, or a configuration that was
     * never sent.
     */
    CONFIGURATION,
    /** The executed requests of a tenant in one window exceed the units that its quota permits. */
    QUOTA,
    /**
     * A process exited without a signal, exceeded its grace period or logged an error, or the fleet
     * did not become ready.
     */
    PROCESS
  }
}
