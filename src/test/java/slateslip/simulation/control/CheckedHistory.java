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

/** The history of a run, which checks the safety invariants at each step. */
final class CheckedHistory {
  private final List<ReferenceState.Change> committed = new ArrayList<>();
  private final Set<ReferenceState.Change> acknowledged = new HashSet<>();
  private final Set<ReferenceState.Change> rejected = new HashSet<>();
  private final Map<Long, NodeId> acknowledgers = new HashMap<>();
  private final Map<Long, View> views = new HashMap<>();
  private long acknowledgedVersion;

  /**
   * Checks a change that a replica applies: each replica applies the same changes in the same
   * order, and no rejected change is applied.
   */
  void applied(int position, long versionBefore, ReferenceState.Change change) {
    if (change.base() != versionBefore) {
      throw new RuleViolation("change " + change + " was applied to version " + versionBefore);
    }
    if (position < committed.size()) {
      if (!committed.get(position).equals(change)) {
        throw new RuleViolation(
            "replicas diverge at position "
                + position
                + ": "
                + committed.get(position)
                + " and "
                + change);
      }
      return;
    }
    if (position > committed.size()) {
      throw new RuleViolation("changes are missing before position " + position);
    }
    if (rejected.contains(change)) {
      throw new RuleViolation("a rejected change was applied: " + change);
    }
    committed.add(change);
  }

  /** Checks that a decided view is the only decided view of its epoch. */
  void decided(View view) {
    View first = views.putIfAbsent(view.epoch(), view);
    if (first != null && !first.equals(view)) {
      throw new RuleViolation("two views were decided for one epoch: " + first + " and " + view);
    }
  }

  /**
   * Checks that only one primary in each epoch acknowledges changes, and that the change is
   * committed.
   */
  void committedBy(NodeId primary, long epoch, ReferenceState.Change change) {
    NodeId first = acknowledgers.putIfAbsent(epoch, primary);
    if (first != null && !first.equals(primary)) {
      throw new RuleViolation(
          first + " and " + primary + " both acknowledged changes in epoch " + epoch);
    }
    acknowledged(change);
  }

  /** Checks that a change whose acknowledgement an operator receives is committed. */
  void acknowledged(ReferenceState.Change change) {
    if (!committed.contains(change)) {
      throw new RuleViolation("an acknowledged change is not committed: " + change);
    }
    acknowledged.add(change);
    acknowledgedVersion = Math.max(acknowledgedVersion, change.version());
  }

  /** Checks that a change that is rejected permanently is not committed. */
  void rejected(ReferenceState.Change change) {
    if (committed.contains(change)) {
      throw new RuleViolation("a committed change was rejected: " + change);
    }
    rejected.add(change);
  }

  /** Returns the newest acknowledged version. */
  long acknowledgedVersion() {
    return acknowledgedVersion;
  }

  Set<ReferenceState.Change> acknowledgedChanges() {
    return acknowledged;
  }

  /**
   * Checks that a read that was confirmed to be current returns no version older than the newest
   * version acknowledged before the read.
   */
  void read(long acknowledgedAtCall, long version) {
    if (version < acknowledgedAtCall) {
      throw new RuleViolation(
          "a read returned version "
              + version
              + " after version "
              + acknowledgedAtCall
              + " was acknowledged");
    }
  }

  /** Checks that the state at the end of the schedule contains all acknowledged changes. */
  void checkEndState(List<ReferenceState.Change> changes) {
    for (ReferenceState.Change change : acknowledged) {
      if (!changes.contains(change)) {
        throw new RuleViolation("an acknowledged change was lost: " + change);
      }
    }
  }
}
