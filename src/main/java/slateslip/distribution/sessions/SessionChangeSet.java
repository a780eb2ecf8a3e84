package slateslip.distribution.sessions;

import java.util.List;

/**
 * What changed of a {@link BackendDirectory}.
 *
 * @param changed ids of sessions that are new or differ in what data planes see
 * @param removed ids of sessions that are no more
 */
public record SessionChangeSet(List<String> changed, List<String> removed) {}
