package slateslip.distribution.peer;

/**
 * A call of a backend that changed nothing but its session's age.
 *
 * @param id incarnation id
 * @param heardAgeMillis since the call
 */
public record SessionRenewal(String id, long heardAgeMillis) {}
