package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateslip.coordination.NodeId;
import slateslip.coordination.View;
import slateslip.simulation.RuleViolation;

/** What must never happen, checked at each step. */
final class CheckedHistory {
  private final List<ReferenceState.Change> committed = new ArrayList<>();
  private final Set<ReferenceState.Change> acknowledged = new HashSet<>();
  private final Set<ReferenceState.Change> refused = new HashSet<>();
  private final Map<Long, NodeId> acknowledgers = new HashMap<>();
  private final Map<Long, View> views = new HashMap<>();
  private long acknowledgedVersion;

  /** A replica applies a change behind others. */
  void applied(int position, long versionBefore, ReferenceState.Change change) {
    if (change.base() != versionBefore) {
      throw new RuleViolation("applied " + change + " on version " + versionBefore);
    }
    if (position < committed.size()) {
      if (!committed.get(position).equals(change)) {
        throw new RuleViolation(
            "forked at " + position + ": " + committed.get(position) + " and " + change);
      }
      return;
    }
    if (position > committed.size()) {
      throw new RuleViolation("a gap before " + position);
    }
    if (refused.contains(change)) {
      throw new RuleViolation("in force, though refused: " + change);
    }
    committed.add(change);
  }

  /** Somebody takes a view as decided. */
  void decided(View view) {
    View first = views.putIfAbsent(view.epoch(), view);
    if (first != null && !first.equals(view)) {
      throw new RuleViolation("two views of one epoch: " + first + " and " + view);
    }
  }

  /** A primary acknowledges the commit of a change. */
  void committedBy(NodeId primary, long epoch, ReferenceState.Change change) {
    NodeId first = acknowledgers.putIfAbsent(epoch, primary);
    if (first != null && !first.equals(primary)) {
      throw new RuleViolation(first + " and " + primary + " acknowledge in epoch " + epoch);
    }
    acknowledged(change);
  }

  /** An operator gets an acknowledgement. */
  void acknowledged(ReferenceState.Change change) {
    if (!committed.contains(change)) {
      throw new RuleViolation("acknowledged, but not committed: " + change);
    }
    acknowledged.add(change);
    acknowledgedVersion = Math.max(acknowledgedVersion, change.version());
  }

  /** A change is refused for good. */
  void refused(ReferenceState.Change change) {
    if (committed.contains(change)) {
      throw new RuleViolation("refused, though in force: " + change);
    }
    refused.add(change);
  }

  /** Newest version acknowledged so far. */
  long acknowledgedVersion() {
    return acknowledgedVersion;
  }

  Set<ReferenceState.Change> acknowledgedChanges() {
    return acknowledged;
  }

  /** A read that is confirmed to be current. */
  void read(long acknowledgedAtCall, long version) {
    if (version < acknowledgedAtCall) {
      throw new RuleViolation(
          "read version " + version + " after " + acknowledgedAtCall + " was acknowledged");
    }
  }

  /** The state at the end of the schedule. */
  void atEnd(List<ReferenceState.Change> changes) {
    for (ReferenceState.Change change : acknowledged) {
      if (!changes.contains(change)) {
        throw new RuleViolation("lost: " + change);
      }
    }
  }
}
