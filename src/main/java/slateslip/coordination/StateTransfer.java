package slateslip.coordination;

import java.util.List;

/**
 * The state of a replica, either complete or as the records after a sequence number.
 *
 * @param baseSequence the sequence number of the last record that the base contains
 * @param complete whether {@code base} contains the state at the base sequence number; otherwise
 *     the receiver already has that state
 * @param base a snapshot of the replicated state, or an empty array if the transfer is not complete
 * @param records the records after the base, in order
 * @param committedSequence the sequence number of the last committed record; at most one pending
 *     record follows
 */
public record StateTransfer(
    long baseSequence,
    boolean complete,
    byte[] base,
    List<byte[]> records,
    long committedSequence) {
  /** Copies the list of records, so that the list is immutable. */
  public StateTransfer {
    records = List.copyOf(records);
  }

  /** Returns the sequence number of the last record. */
  public long lastSequence() {
    return baseSequence + records.size();
  }

  /** Returns the size of the snapshot and the records in bytes. */
  public long bytes() {
    return base.length + records.stream().mapToLong(record -> record.length).sum();
  }
}
