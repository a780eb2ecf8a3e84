package slateslip.controlplane.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.transfer.CompressedMessage;

/**
 * The newest complete configurations and session tables that were sent in segments. A data plane
 * that has received a part of one of them continues there on its next stream, also after a change,
 * and receives what has changed since. Otherwise a link that breaks often would never carry a
 * message that takes longer than a stream lasts.
 */
final class RetainedTransfers {
  private static final int MAX_TRANSFERS = 8;

  /** Maximum number of compressed bytes of all transfers; the newest one is always retained. */
  private static final int MAX_BYTES = 16 * 1024 * 1024;

  private final Deque<Retained> newestFirst = new ArrayDeque<>();

  /** A message that a data plane may have received in part. */
  sealed interface Retained {
    /** Returns the message as it is sent. */
    CompressedMessage message();

    /** A complete configuration. */
    record Configuration(CompressedMessage message, long version) implements Retained {}

    /**
     * A session table.
     *
     * @param complete whether a backend that the table does not contain is gone
     * @param warmingIds ids of the backends whose remaining warm-up in the table has become
     *     outdated
     */
    record Sessions(
        CompressedMessage message, long revision, boolean complete, List<String> warmingIds)
        implements Retained {}
  }

  /** Retains a message that is sent in segments, if it is a configuration or a session table. */
  void add(ControlPlaneMessage message, CompressedMessage compressed) {
    if (find(compressed.transfer()).isPresent()) {
      return;
    }
    if (message instanceof ControlPlaneMessage.ConfigurationSnapshot snapshot) {
      newestFirst.addFirst(new Retained.Configuration(compressed, snapshot.version()));
    } else if (message instanceof ControlPlaneMessage.SessionSnapshot table) {
      newestFirst.addFirst(
          new Retained.Sessions(
              compressed, table.revision(), table.complete(), warmingIds(table.sessions())));
    }
    while (newestFirst.size() > MAX_TRANSFERS || (newestFirst.size() > 1 && bytes() > MAX_BYTES)) {
      newestFirst.removeLast();
    }
  }

  private static List<String> warmingIds(List<BackendSession> sessions) {
    return sessions.stream()
        .filter(session -> session.remainingWarmupMillis() > 0)
        .map(BackendSession::id)
        .toList();
  }

  private long bytes() {
    return newestFirst.stream().mapToLong(each -> each.message().length()).sum();
  }

  /** Returns the retained message of a transfer, or empty if it is not retained. */
  Optional<Retained> find(long transfer) {
    return newestFirst.stream().filter(each -> each.message().transfer() == transfer).findFirst();
  }
}
