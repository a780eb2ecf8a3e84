package slateslip.distribution.sessions;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a peer that is away has missed: ids of sessions that were heard, changed or ended meanwhile.
 * If there are too many, it needs the whole table.
 */
public final class HintedHandoff {
  /** Above this, the whole table takes hardly more than the hints. */
  static final int MAX_HINTS = 4_096;

  private final Set<String> ids = new LinkedHashSet<>();
  private boolean overflown;

  /** Takes note of something that the peer has missed. */
  public void hint(String id) {
    if (overflown) {
      return;
    }
    ids.add(id);
    if (ids.size() > MAX_HINTS) {
      requireWhole();
    }
  }

  /** The peer needs the whole table, as after its start. */
  public void requireWhole() {
    overflown = true;
    ids.clear();
  }

  /** Whether the peer needs the whole table. */
  public boolean needsWhole() {
    return overflown;
  }

  /** Hands the hints over and keeps none. */
  public List<String> take() {
    List<String> taken = List.copyOf(ids);
    ids.clear();
    overflown = false;
    return taken;
  }
}
