package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The replica's copy of the state in memory: the committed records, all of which are applied, and
 * at most one pending record after them that is not yet known to be committed.
 */
final class ReplicaStore {
  private static final int RECENT_RECORDS = 256;
  private static final long RECENT_BYTES = 1 << 20;
  private static final byte[] NO_BYTES = new byte[0];

  private final ReplicatedState state;
  private final Deque<byte[]> recent = new ArrayDeque<>();
  private long recentBytes;
  private PrimaryTerm installed = PrimaryTerm.NONE;
  private long appliedSequence;
  private byte[] pending;
  private boolean applied;

  ReplicaStore(ReplicatedState state) {
    this.state = state;
  }

  ReplicatedState state() {
    return state;
  }

  PrimaryTerm installed() {
    return installed;
  }

  long appliedSequence() {
    return appliedSequence;
  }

  long lastSequence() {
    return appliedSequence + (pending == null ? 0 : 1);
  }

  boolean hasPending() {
    return pending != null;
  }

  byte[] pending() {
    return pending;
  }

  /**
   * Returns whether the committed state has changed since the last call, and clears the indication.
   */
  boolean getAndClearApplied() {
    boolean result = applied;
    applied = false;
    return result;
  }

  /** Marks the primary's own state as installed for the primary's new term. */
  void beginTerm(PrimaryTerm term) {
    installed = term;
  }

  /**
   * Installs a state that a primary sent. Returns false and installs nothing if the term or the
   * transferred state is older than the local one, or if records between the local state and the
   * transfer are missing. Within one term, records are only added, because the replica may have
   * acknowledged the earlier records already.
   */
  boolean install(PrimaryTerm term, StateTransfer transfer) {
    int termOrder = term.compareTo(installed);
    if (termOrder == 0) {
      commitTo(transfer.baseSequence());
    }
    boolean baseApplied = transfer.baseSequence() <= appliedSequence;
    if (termOrder < 0 || (!baseApplied && !transfer.complete())) {
      return false;
    }
    if (transfer.lastSequence() < appliedSequence) {
      return false;
    }
    if (termOrder > 0) {
      pending = null;
    }
    if (!baseApplied) {
      restore(transfer);
    }
    installed = term;
    long sequence = transfer.baseSequence();
    for (byte[] record : transfer.records()) {
      sequence++;
      append(sequence, Math.min(transfer.committedSequence(), sequence - 1), record);
    }
    commitTo(transfer.committedSequence());
    return true;
  }

  private void restore(StateTransfer transfer) {
    state.restore(transfer.base());
    appliedSequence = transfer.baseSequence();
    pending = null;
    recent.clear();
    recentBytes = 0;
    applied = true;
  }

  /**
   * Adds the record that follows the last one as pending. Returns false if the record is already
   * present, an earlier record is missing, or another record is pending.
   */
  boolean append(long sequence, long committedSequence, byte[] record) {
    commitTo(committedSequence);
    if (sequence != lastSequence() + 1 || pending != null) {
      return false;
    }
    pending = record;
    return true;
  }

  /**
   * Applies the pending record if the committed sequence number shows that the record is committed.
   */
  void commitTo(long committedSequence) {
    if (pending == null || committedSequence <= appliedSequence) {
      return;
    }
    byte[] record = pending;
    pending = null;
    appliedSequence++;
    state.apply(record);
    applied = true;
    addRecent(record);
  }

  private void addRecent(byte[] record) {
    recent.addLast(record);
    recentBytes += record.length;
    while (recent.size() > RECENT_RECORDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recent.removeFirst().length;
    }
  }

  /**
   * Returns the state for a receiver that has applied the committed records up to a sequence
   * number: the missing records if they are still in memory, otherwise the complete state.
   */
  StateTransfer transferFrom(long receiverSequence) {
    long missing = appliedSequence - receiverSequence;
    if (missing > recent.size()) {
      return completeTransfer();
    }
    List<byte[]> records = new ArrayList<>();
    long base = Math.min(receiverSequence, appliedSequence);
    long skipped = recent.size() - (appliedSequence - base);
    recent.stream().skip(skipped).forEach(records::add);
    addPending(records);
    return new StateTransfer(base, false, NO_BYTES, records, appliedSequence);
  }

  /** Returns the complete state as a snapshot and the pending record, if any. */
  StateTransfer completeTransfer() {
    List<byte[]> records = new ArrayList<>();
    addPending(records);
    return new StateTransfer(appliedSequence, true, state.snapshot(), records, appliedSequence);
  }

  private void addPending(List<byte[]> records) {
    if (pending != null) {
      records.add(pending);
    }
  }
}
