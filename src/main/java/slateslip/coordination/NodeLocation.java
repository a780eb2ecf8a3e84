package slateslip.coordination;

/**
 * The failure domains of a node.
 *
 * @param zone the zone of the node, or an empty text if it is not known
 * @param region the region of the node, or an empty text if it is not known
 */
public record NodeLocation(String zone, String region) {
  /** Location of a node of an earlier program version, which does not report where it is. */
  public static final NodeLocation UNKNOWN = new NodeLocation("", "");

  /** Returns whether the node has not reported its zone. */
  public boolean isUnknown() {
    return zone.isEmpty();
  }
}
