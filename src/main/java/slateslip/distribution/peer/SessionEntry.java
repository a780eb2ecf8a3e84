package slateslip.distribution.peer;

import slateslip.distribution.BackendSession;

/**
 * A session as one control agent sends it to another. Times are sent as ages, because the clocks of
 * agents differ.
 *
 * @param session newest state that the backend reported
 * @param registeredAgeMillis time in milliseconds since the first heartbeat of the incarnation
 * @param heardAgeMillis time in milliseconds since its newest heartbeat
 */
public record SessionEntry(BackendSession session, long registeredAgeMillis, long heardAgeMillis) {}
