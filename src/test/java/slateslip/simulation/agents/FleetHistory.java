package slateslip.simulation.agents;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.configuration.FleetConfiguration;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.RuleViolation;

/** What operators, backends and data planes have seen, and what must never be among it. */
final class FleetHistory {
  private final Map<String, ConfigurationChange> sent = new HashMap<>();
  private final Map<Long, ConfigurationChange> takenByBase = new HashMap<>();
  private final Map<Long, ConfigurationChange> takenByVersion = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private final NavigableMap<Long, Long> acknowledgedAt = new TreeMap<>();
  private final Map<Long, Integer> sentOnBase = new HashMap<>();

  /** An operator is about to send an order, maybe again. */
  void sent(ConfigurationChange order) {
    if (sent.putIfAbsent(order.marker(), order) == null) {
      sentOnBase.merge(order.base(), 1, Integer::sum);
    }
  }

  /** Newest version that was acknowledged; 0 before the first. */
  long newestAcknowledged() {
    return acknowledgedAt.isEmpty() ? 0 : acknowledgedAt.lastKey();
  }

  /** Versions that were acknowledged, and when. */
  NavigableMap<Long, Long> acknowledgements() {
    return acknowledgedAt;
  }

  int changesTaken() {
    return acknowledgedAt.size();
  }

  /** An operator has an answer to an order. */
  void answered(long now, ConfigurationChange order, long newestAtCall, OperatorResponse answer) {
    if (answer.status() == OperatorResponse.OK) {
      if (!order.valid()) {
        throw new RuleViolation("acknowledged, though invalid: " + order);
      }
      if (answer.version() != order.version()) {
        throw new RuleViolation("version " + answer.version() + " acknowledged for " + order);
      }
      taken(order);
      acknowledgedAt.putIfAbsent(order.version(), now);
    } else if (answer.status() != OperatorResponse.UNAVAILABLE) {
      refused(order, newestAtCall, answer);
    }
  }

  private void refused(ConfigurationChange order, long newestAtCall, OperatorResponse answer) {
    if (order.equals(takenByBase.get(order.base()))) {
      throw new RuleViolation("refused with " + answer.status() + ", though taken: " + order);
    }
    refused.add(order.marker());
    boolean alone = sentOnBase.get(order.base()) == 1 && order.base() == newestAtCall;
    if (order.valid() && alone && newestAtCall == newestAcknowledged()) {
      throw new RuleViolation("refused with " + answer.status() + ", though proper: " + order);
    }
  }

  /** There is a sign that an order is in force. */
  private void taken(ConfigurationChange order) {
    if (refused.contains(order.marker())) {
      throw new RuleViolation("in force, though refused: " + order);
    }
    ConfigurationChange rival = takenByBase.putIfAbsent(order.base(), order);
    if (rival != null && !rival.equals(order)) {
      throw new RuleViolation("two on one version: " + rival + " and " + order);
    }
    ConfigurationChange other = takenByVersion.putIfAbsent(order.version(), order);
    if (other != null && !other.equals(order)) {
      throw new RuleViolation("two under one number: " + other + " and " + order);
    }
  }

  private void taken(FleetConfiguration configuration) {
    ConfigurationChange order = sent.get(ConfigurationChange.markerOf(configuration));
    if (order == null || order.version() != configuration.version()) {
      throw new RuleViolation("in force, but never sent: " + configuration.version());
    }
    taken(order);
  }

  /** A read of the configuration has been answered; returns the version that was read. */
  long read(long newestAtCall, OperatorResponse answer) {
    if (answer.status() == OperatorResponse.NOT_FOUND) {
      checkRead(newestAtCall, 0);
      return 0;
    }
    if (!(ConfigurationDocument.parse(answer.body()) instanceof ConfigurationOutcome.Parsed read)) {
      throw new RuleViolation("a configuration that cannot be read");
    }
    taken(read.document().configuration());
    checkRead(newestAtCall, read.document().version());
    return read.document().version();
  }

  private static void checkRead(long newestAtCall, long version) {
    if (version < newestAtCall) {
      throw new RuleViolation("read " + version + " after " + newestAtCall + " was acknowledged");
    }
  }

  /** A data plane puts a configuration into force. */
  void inForce(DataPlaneMachine where, FleetConfiguration before, FleetConfiguration after) {
    taken(after);
    if (before != null && after.version() <= before.version()) {
      throw new RuleViolation(where + " went from " + before.version() + " to " + after.version());
    }
  }
}
