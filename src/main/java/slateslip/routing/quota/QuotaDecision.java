package slateslip.routing.quota;

/** The decision of a tenant's quota on a request. */
public sealed interface QuotaDecision {
  /** The request is admitted and its units are charged. */
  record Admitted(QuotaCharge charge) implements QuotaDecision {}

  /**
   * The request waits until the quota allocator assigns a larger share or the maximum wait is over.
   */
  record Waiting(QuotaWait quotaWait) implements QuotaDecision {}

  /** The request is refused; the client may retry it after this time, in microseconds. */
  record Refused(long retryAfterMicros) implements QuotaDecision {}
}
