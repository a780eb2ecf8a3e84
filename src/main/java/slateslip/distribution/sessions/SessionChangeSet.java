package slateslip.distribution.sessions;

import java.util.List;

/**
 * The changes of a {@link SessionTable} between two revisions.
 *
 * @param changed ids of sessions that are new or that differ in a value that data planes see
 * @param removed ids of sessions that are no longer in the table
 */
public record SessionChangeSet(List<String> changed, List<String> removed) {}
