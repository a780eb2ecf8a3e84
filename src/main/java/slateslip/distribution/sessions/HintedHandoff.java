package slateslip.distribution.sessions;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a peer that is away has missed: ids of sessions that were heard, changed or ended meanwhile.
 * If there are too many, it needs the full table.
 */
public final class HintedHandoff {
  /** Above this, the full table takes hardly more than the hints. */
  static final int MAX_HINTS = 4_096;

  private final Set<String> ids = new LinkedHashSet<>();
  private boolean overflowed;

  /** Takes note of something that the peer has missed. */
  public void hint(String id) {
    if (overflowed) {
      return;
    }
    ids.add(id);
    if (ids.size() > MAX_HINTS) {
      requireFullTable();
    }
  }

  /** The peer needs the full table, as after its start. */
  public void requireFullTable() {
    overflowed = true;
    ids.clear();
  }

  /** Whether the peer needs the full table. */
  public boolean needsFullTable() {
    return overflowed;
  }

  /** Hands the hints over and keeps none. */
  public List<String> drain() {
    List<String> drained = List.copyOf(ids);
    ids.clear();
    overflowed = false;
    return drained;
  }
}
