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

/**
 * The changes, responses and configurations that operators and data planes observe in a run. The
 * history checks the safety invariants at each step.
 */
final class FleetHistory {
  private final Map<String, ConfigurationChange> sent = new HashMap<>();
  private final Map<Long, ConfigurationChange> acceptedByBase = new HashMap<>();
  private final Map<Long, ConfigurationChange> acceptedByVersion = new HashMap<>();
  private final Set<String> rejected = new HashSet<>();
  private final NavigableMap<Long, Long> acknowledgedAt = new TreeMap<>();
  private final Map<Long, Integer> sentOnBase = new HashMap<>();

  /** Records that an operator sends a change, for the first time or again. */
  void sent(ConfigurationChange change) {
    if (sent.putIfAbsent(change.marker(), change) == null) {
      sentOnBase.merge(change.base(), 1, Integer::sum);
    }
  }

  /** Returns the newest acknowledged version, or 0 before the first acknowledgement. */
  long newestAcknowledged() {
    return acknowledgedAt.isEmpty() ? 0 : acknowledgedAt.lastKey();
  }

  /** Returns the simulated time in microseconds of the first acknowledgement of each version. */
  NavigableMap<Long, Long> acknowledgements() {
    return acknowledgedAt;
  }

  int acknowledgedChanges() {
    return acknowledgedAt.size();
  }

  /**
   * Checks a response to a change. An acknowledged change must be valid and have the acknowledged
   * version. An accepted change must not be rejected, nor a valid change that is based on the
   * newest acknowledged version and whose base version no other change has.
   */
  void responded(
      long now, ConfigurationChange change, long newestAtCall, OperatorResponse response) {
    if (response.status() == OperatorResponse.OK) {
      if (!change.valid()) {
        throw new RuleViolation("an invalid change was acknowledged: " + change);
      }
      if (response.version() != change.version()) {
        throw new RuleViolation(
            "version " + response.version() + " was acknowledged for change " + change);
      }
      accepted(change);
      acknowledgedAt.putIfAbsent(change.version(), now);
    } else if (response.status() != OperatorResponse.UNAVAILABLE) {
      rejected(change, newestAtCall, response);
    }
  }

  private void rejected(ConfigurationChange change, long newestAtCall, OperatorResponse response) {
    if (change.equals(acceptedByBase.get(change.base()))) {
      throw new RuleViolation(
          "status " + response.status() + " rejected an accepted change: " + change);
    }
    rejected.add(change.marker());
    boolean alone = sentOnBase.get(change.base()) == 1 && change.base() == newestAtCall;
    if (change.valid() && alone && newestAtCall == newestAcknowledged()) {
      throw new RuleViolation(
          "status " + response.status() + " rejected a valid change without a conflict: " + change);
    }
  }

  /**
   * Records that a change was accepted. The change must not have been rejected, and no other
   * accepted change has the same base version or the same version.
   */
  private void accepted(ConfigurationChange change) {
    if (rejected.contains(change.marker())) {
      throw new RuleViolation("a rejected change was applied: " + change);
    }
    ConfigurationChange sameBase = acceptedByBase.putIfAbsent(change.base(), change);
    if (sameBase != null && !sameBase.equals(change)) {
      throw new RuleViolation(
          "two accepted changes have the same base version: " + sameBase + " and " + change);
    }
    ConfigurationChange sameVersion = acceptedByVersion.putIfAbsent(change.version(), change);
    if (sameVersion != null && !sameVersion.equals(change)) {
      throw new RuleViolation(
          "two accepted changes have the same version: " + sameVersion + " and " + change);
    }
  }

  private void accepted(FleetConfiguration configuration) {
    ConfigurationChange change = sent.get(ConfigurationChange.markerOf(configuration));
    if (change == null || change.version() != configuration.version()) {
      throw new RuleViolation(
          "an applied configuration was never sent: version " + configuration.version());
    }
    accepted(change);
  }

  /**
   * Returns the version in the response to a read, or 0 if no configuration exists. The version
   * must not be older than the newest version that was acknowledged before the read.
   */
  long read(long newestAtCall, OperatorResponse response) {
    if (response.status() == OperatorResponse.NOT_FOUND) {
      checkRead(newestAtCall, 0);
      return 0;
    }
    if (!(ConfigurationDocument.parse(response.body())
        instanceof ConfigurationOutcome.Parsed read)) {
      throw new RuleViolation("a read returned a configuration that cannot be parsed");
    }
    accepted(read.document().configuration());
    checkRead(newestAtCall, read.document().version());
    return read.document().version();
  }

  private static void checkRead(long newestAtCall, long version) {
    if (version < newestAtCall) {
      throw new RuleViolation(
          "a read returned version "
              + version
              + " after version "
              + newestAtCall
              + " was acknowledged");
    }
  }

  /** Checks that a data plane applies only accepted configurations, in increasing version order. */
  void inForce(DataPlaneMachine where, FleetConfiguration before, FleetConfiguration after) {
    accepted(after);
    if (before != null && after.version() <= before.version()) {
      throw new RuleViolation(
          where + " (data plane) went from version " + before.version() + " to " + after.version());
    }
  }
}
