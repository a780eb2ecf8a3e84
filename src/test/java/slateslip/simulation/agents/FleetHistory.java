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
  void sent(ConfigurationChange change) {
    if (sent.putIfAbsent(change.marker(), change) == null) {
      sentOnBase.merge(change.base(), 1, Integer::sum);
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

  /** An operator has a response to an order. */
  void responded(
      long now, ConfigurationChange change, long newestAtCall, OperatorResponse response) {
    if (response.status() == OperatorResponse.OK) {
      if (!change.valid()) {
        throw new RuleViolation("acknowledged, though invalid: " + change);
      }
      if (response.version() != change.version()) {
        throw new RuleViolation("version " + response.version() + " acknowledged for " + change);
      }
      taken(change);
      acknowledgedAt.putIfAbsent(change.version(), now);
    } else if (response.status() != OperatorResponse.UNAVAILABLE) {
      refused(change, newestAtCall, response);
    }
  }

  private void refused(ConfigurationChange change, long newestAtCall, OperatorResponse response) {
    if (change.equals(takenByBase.get(change.base()))) {
      throw new RuleViolation("refused with " + response.status() + ", though taken: " + change);
    }
    refused.add(change.marker());
    boolean alone = sentOnBase.get(change.base()) == 1 && change.base() == newestAtCall;
    if (change.valid() && alone && newestAtCall == newestAcknowledged()) {
      throw new RuleViolation("refused with " + response.status() + ", though proper: " + change);
    }
  }

  /** There is a sign that an order is in force. */
  private void taken(ConfigurationChange change) {
    if (refused.contains(change.marker())) {
      throw new RuleViolation("in force, though refused: " + change);
    }
    ConfigurationChange rival = takenByBase.putIfAbsent(change.base(), change);
    if (rival != null && !rival.equals(change)) {
      throw new RuleViolation("two on one version: " + rival + " and " + change);
    }
    ConfigurationChange other = takenByVersion.putIfAbsent(change.version(), change);
    if (other != null && !other.equals(change)) {
      throw new RuleViolation("two under one number: " + other + " and " + change);
    }
  }

  private void taken(FleetConfiguration configuration) {
    ConfigurationChange change = sent.get(ConfigurationChange.markerOf(configuration));
    if (change == null || change.version() != configuration.version()) {
      throw new RuleViolation("in force, but never sent: " + configuration.version());
    }
    taken(change);
  }

  /** A read of the configuration has been answered; returns the version that was read. */
  long read(long newestAtCall, OperatorResponse response) {
    if (response.status() == OperatorResponse.NOT_FOUND) {
      checkRead(newestAtCall, 0);
      return 0;
    }
    if (!(ConfigurationDocument.parse(response.body())
        instanceof ConfigurationOutcome.Parsed read)) {
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
