package slateslip.coordination;

/**
 * A member of a view.
 *
 * @param node who
 * @param sinceEpoch epoch from which on it has been a member without a break; a member that has
 *     installed that epoch or a later one holds every committed record of the views before
 */
public record ViewMember(NodeId node, long sinceEpoch) {}
