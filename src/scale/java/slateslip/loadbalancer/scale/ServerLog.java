package slateslip.loadbalancer.scale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versions of a server list: the list now, and a bounded log of what changed. Each answer is
 * encoded once for each version and shared by all that are owed it: the least one process can spend
 * on them. Not safe for several threads.
 */
final class ServerLog {
  /** What one version changed. */
  private record Change(long version, List<ServerEntry> entries) {}

  /**
   * A response, shared: who writes it takes a retained duplicate.
   *
   * @param full whether it is the whole list
   * @param lines how many entries it has
   * @param body its bytes, outside the heap, so that writing them copies nothing
   */
  record LoggedResponse(boolean full, int lines, ByteBuf body) {}

  private final int max;
  private final Map<String, byte[]> listed = new LinkedHashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final Map<Long, LoggedResponse> deltas = new HashMap<>();
  private LoggedResponse full;
  private long version;

  /** The oldest version from which the log leads to the present one. */
  private long oldest;

  private int logged;

  /**
   * An empty list.
   *
   * @param max how many changed entries the log keeps
   */
  ServerLog(int max) {
    this.max = max;
  }

  long version() {
    return version;
  }

  int size() {
    return listed.size();
  }

  /** Puts another list in place, as of the version given; no older version leads to it. */
  void replace(long as, Collection<ServerEntry> entries) {
    version = as;
    oldest = as;
    listed.clear();
    changes.clear();
    logged = 0;
    entries.forEach(each -> listed.put(each.name(), each.json()));
    forget();
  }

  /** Several changed entries as one new version. */
  long change(List<ServerEntry> entries) {
    version++;
    for (ServerEntry each : entries) {
      if (each.status() == ServerEntry.Status.GONE) {
        listed.remove(each.name());
      } else {
        listed.put(each.name(), each.json());
      }
    }
    changes.add(new Change(version, List.copyOf(entries)));
    logged += entries.size();
    while (logged > max) {
      Change dropped = changes.poll();
      logged -= dropped.entries.size();
      oldest = dropped.version;
    }
    forget();
    return version;
  }

  /**
   * What an agent with that version is owed: the changes since then, none if it has the present
   * version, or the whole list where the log does not lead from there.
   */
  LoggedResponse since(long since) {
    if (since < oldest || since > version) {
      return full();
    }
    return deltas.computeIfAbsent(since, this::delta);
  }

  LoggedResponse full() {
    if (full == null) {
      full = encode(true, listed.values());
    }
    return full;
  }

  private LoggedResponse delta(long since) {
    Map<String, byte[]> last = new LinkedHashMap<>();
    for (Change change : changes) {
      if (change.version > since) {
        change.entries.forEach(each -> last.put(each.name(), each.json()));
      }
    }
    return encode(false, last.values());
  }

  private LoggedResponse encode(boolean snapshot, Collection<byte[]> entries) {
    byte[] head =
        ("{\"index\":" + version + ",\"snapshot\":" + snapshot + ",\"endpoints\":[")
            .getBytes(StandardCharsets.US_ASCII);
    int size = head.length + entries.stream().mapToInt(each -> each.length + 1).sum() + 2;
    ByteBuf body = Unpooled.directBuffer(size);
    body.writeBytes(head);
    boolean first = true;
    for (byte[] each : entries) {
      if (!first) {
        body.writeByte(',');
      }
      first = false;
      body.writeBytes(each);
    }
    body.writeByte(']').writeByte('}');
    return new LoggedResponse(snapshot, entries.size(), body);
  }

  /** Lets go of the answers of the last version; those still being written hold theirs. */
  void forget() {
    deltas.values().forEach(each -> each.body.release());
    deltas.clear();
    if (full != null) {
      full.body.release();
      full = null;
    }
  }
}
