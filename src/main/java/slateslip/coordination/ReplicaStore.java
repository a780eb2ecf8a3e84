package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The replica's copy of the state in memory: what is committed, applied, and at most one record
 * behind it whose fate is open.
 */
final class ReplicaStore {
  private static final int RECENT_RECORDS = 256;
  private static final long RECENT_BYTES = 1 << 20;
  private static final byte[] NOTHING = new byte[0];

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

  /** Whether committed state has changed since the last call. */
  boolean takeApplied() {
    boolean result = applied;
    applied = false;
    return result;
  }

  /** A primary's own state becomes that of its new term. */
  void beginTerm(PrimaryTerm term) {
    installed = term;
  }

  /**
   * Takes over a primary's state; false if it doesn't fit what is here. Within one term records are
   * only added, as what came before may have been acknowledged.
   */
  boolean install(PrimaryTerm term, StateTransfer transfer) {
    int termOrder = term.compareTo(installed);
    if (termOrder == 0) {
      commitTo(transfer.baseSequence());
    }
    boolean baseHere = transfer.baseSequence() <= appliedSequence;
    if (termOrder < 0 || (!baseHere && !transfer.complete())) {
      return false;
    }
    if (transfer.lastSequence() < appliedSequence) {
      return false;
    }
    if (termOrder > 0) {
      pending = null;
    }
    if (!baseHere) {
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

  /** Adds the record behind the last one; false if it is here already or one is missing. */
  boolean append(long sequence, long committedSequence, byte[] record) {
    commitTo(committedSequence);
    if (sequence != lastSequence() + 1 || pending != null) {
      return false;
    }
    pending = record;
    return true;
  }

  /** Applies the pending record if it is committed. */
  void commitTo(long committedSequence) {
    if (pending == null || committedSequence <= appliedSequence) {
      return;
    }
    byte[] record = pending;
    pending = null;
    appliedSequence++;
    state.apply(record);
    applied = true;
    remember(record);
  }

  private void remember(byte[] record) {
    recent.addLast(record);
    recentBytes += record.length;
    while (recent.size() > RECENT_RECORDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recent.removeFirst().length;
    }
  }

  /** The state for a receiver that has applied what is committed up to a sequence number. */
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
    return new StateTransfer(base, false, NOTHING, records, appliedSequence);
  }

  /** The complete state. */
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
