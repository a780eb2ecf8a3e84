package slateslip.simulation.dataplane;

/**
 * A broken rule.
 *
 * @param rule which one
 * @param atMicros when it was seen
 * @param detail for a reader
 */
public record Violation(Rule rule, long atMicros, String detail) {
  /** What is checked all along. */
  public enum Rule {
    /** A request that may not be repeated ran more than once within one try. */
    RAN_TWICE,
    /** A request was refused with a promise although it had run, or ran later. */
    PROMISE_BROKEN,
    /** A stream lost, repeated or invented an event, or ended early and looked complete. */
    STREAM_ORDER,
    /**
     * A request had no final answer, or more than one, or one after its attempt had been passed on.
     */
    ANSWERS,
    /** An attempt went to a request that was over, or twice under one number. */
    ATTEMPTS,
    /** A try ran at more backends than its route allows. */
    MAX_ATTEMPTS,
    /** A backend of another service ran a request. */
    WRONG_SERVICE,
    /** A backend was told another tenant than the one that holds the key. */
    WRONG_TENANT,
    /** A request reached a backend too late after its draining was acknowledged. */
    DRAIN,
    /** A tenant ran more than its quota in some window. */
    QUOTA,
    /** A service had more repeats than the budget in some window. */
    RETRY_BUDGET,
    /** A request was held beyond its route's time-out. */
    HELD,
    /** A response was broken off though a backend that still runs was at work on it. */
    BROKEN_OFF
  }
}
