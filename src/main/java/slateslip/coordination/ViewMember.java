package slateslip.coordination;

/**
 * A member of a view.
 *
 * @param node the identity of the member
 * @param sinceEpoch the first epoch of the member's current uninterrupted membership; a member that
 *     has installed the state of that epoch or a later one holds every committed record of the
 *     earlier views
 */
public record ViewMember(NodeId node, long sinceEpoch) {}
