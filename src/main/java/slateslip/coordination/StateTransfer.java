package slateslip.coordination;

import java.util.List;

/**
 * A replica's state, whole or from a sequence number on.
 *
 * @param baseSequence records that the base holds
 * @param complete whether {@code base} is the state at that sequence number; otherwise the receiver
 *     has it
 * @param base snapshot of the replicated state, empty if not complete
 * @param records those after the base, in order
 * @param committedSequence records up to here are committed; one more at most may follow
 */
public record StateTransfer(
    long baseSequence,
    boolean complete,
    byte[] base,
    List<byte[]> records,
    long committedSequence) {
  /** Copies the list. */
  public StateTransfer {
    records = List.copyOf(records);
  }

  /** Sequence number of the last record. */
  public long lastSequence() {
    return baseSequence + records.size();
  }

  /** Size of the payload in bytes. */
  public long bytes() {
    return base.length + records.stream().mapToLong(record -> record.length).sum();
  }
}
