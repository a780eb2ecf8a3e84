package slateslip.distribution.sessions;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the ids of sessions that were renewed, changed or ended while a peer was disconnected,
 * so that the peer can be brought up to date. If there are too many ids, the peer needs the full
 * table instead. Not thread-safe.
 */
public final class HintedHandoff {
  /**
   * The largest number of ids that are kept. For more ids, the full table is hardly larger than the
   * hints.
   */
  static final int MAX_HINTS = 4_096;

  private final Set<String> ids = new LinkedHashSet<>();
  private boolean overflowed;

  /**
   * Records the id of a session whose update the peer has missed. Has no effect if the peer needs
   * the full table anyway.
   */
  public void hint(String id) {
    if (overflowed) {
      return;
    }
    ids.add(id);
    if (ids.size() > MAX_HINTS) {
      requireFullTable();
    }
  }

  /** Records that the peer needs the full table, as after the peer's start, and drops all hints. */
  public void requireFullTable() {
    overflowed = true;
    ids.clear();
  }

  /** Returns whether the peer needs the full table instead of the hints. */
  public boolean needsFullTable() {
    return overflowed;
  }

  /**
   * Returns the collected ids and clears the hints and the need for a full table. The list is empty
   * if the peer needs the full table.
   */
  public List<String> drain() {
    List<String> drained = List.copyOf(ids);
    ids.clear();
    overflowed = false;
    return drained;
  }
}
