package slateslip.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * The nodes as the primary has observed them.
 *
 * @param self the primary, which is healthy and has its term's state on disk
 * @param selfLocation the location of the primary
 * @param others the health of every other node that the primary knows
 */
record ObservedNodes(NodeId self, NodeLocation selfLocation, List<PeerHealth> others) {
  boolean isSelf(NodeId node) {
    return node.equals(self);
  }

  Optional<PeerHealth> healthOf(NodeId node) {
    return others.stream().filter(health -> health.node().equals(node)).findFirst();
  }

  boolean isHealthy(NodeId node) {
    return isSelf(node) || healthOf(node).filter(PeerHealth::healthy).isPresent();
  }

  boolean isInstalled(NodeId node) {
    return isSelf(node) || healthOf(node).filter(PeerHealth::installed).isPresent();
  }

  long healthyMicros(NodeId node) {
    return healthOf(node).map(PeerHealth::healthyMicros).orElse(0L);
  }

  long unresponsiveMicros(NodeId node) {
    return healthOf(node).map(PeerHealth::unresponsiveMicros).orElse(0L);
  }

  NodeLocation location(NodeId node) {
    return isSelf(node)
        ? selfLocation
        : healthOf(node).map(PeerHealth::location).orElse(NodeLocation.UNKNOWN);
  }

  List<NodeLocation> locations(Collection<NodeId> nodes) {
    return nodes.stream().map(this::location).toList();
  }
}
