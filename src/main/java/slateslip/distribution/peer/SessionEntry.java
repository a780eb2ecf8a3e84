package slateslip.distribution.peer;

import slateslip.distribution.BackendSession;

/**
 * A session as one control agent hands it to another. Times are ages, as the agents' clocks differ.
 *
 * @param session what the backend said last
 * @param registeredAgeMillis since its first call
 * @param heardAgeMillis since its newest call
 */
public record SessionEntry(BackendSession session, long registeredAgeMillis, long heardAgeMillis) {}
