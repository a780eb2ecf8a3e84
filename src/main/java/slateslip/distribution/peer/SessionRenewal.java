package slateslip.distribution.peer;

/**
 * A heartbeat of a backend that changed nothing but the age of its session.
 *
 * @param id incarnation id of the backend
 * @param heardAgeMillis time in milliseconds since the heartbeat arrived
 */
public record SessionRenewal(String id, long heardAgeMillis) {}
