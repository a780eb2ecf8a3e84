package slateslip.loadbalancer.scale;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the servers of an experiment are in truth, whatever an agent was told: by this a send is
 * judged. All hollow agents of a process share it, hence it may be read from any event loop. Times
 * are microseconds of the process's monotonic clock.
 */
final class ServerGroundTruth {
  /** However a change fails to arrive, it counts as told this long after discovery had it. */
  static final long NOTIFIED_AFTER_MICROS = 6_000_000;

  /**
   * A server that was taken from the list.
   *
   * @param leftAt from when the server takes nothing new
   * @param gone whether nobody listens there
   */
  private record Left(long leftAt, boolean gone) {}

  private final Map<Long, Left> left = new ConcurrentHashMap<>();

  /**
   * A server drains or goes.
   *
   * @param server its id
   * @param at since when discovery has this and can be reached
   * @param gone whether it has gone
   */
  void drainStartedAt(long server, long at, boolean gone) {
    left.merge(server, new Left(at, gone), (old, now) -> new Left(old.leftAt, gone));
  }

  /** A server is there again. */
  void returns(long server) {
    left.remove(server);
  }

  /** Whether nobody listens at a server's address. */
  boolean gone(long server) {
    Left state = left.get(server);
    return state != null && state.gone;
  }

  /**
   * Whether a send begins later than the grace after the server's leaving counts as told to
   * everybody.
   */
  boolean late(long server, long sentAt, long graceMicros) {
    Left state = left.get(server);
    return state != null && sentAt > state.leftAt + NOTIFIED_AFTER_MICROS + graceMicros;
  }
}
