package slateslip.dataplane.backend;

import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import slateslip.dataplane.transport.PendingRead;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;

/**
 * Reads the connections of all running streams together at a fixed interval, so that the event loop
 * is not woken for each event of each stream. A connection whose stream delivers no data for some
 * intervals is returned to the event loop, so that polling does not delay the first event after a
 * pause. Confined to the event loop.
 */
final class StreamPoller {
  /**
   * Number of consecutive reads without data after which a connection is returned to the event
   * loop.
   */
  private static final int MAX_EMPTY_READS = 2;

  private static final int BUFFER_BYTES = 16_384;

  private final EventLoop loop;
  private final WakeUpCounter wakeUps;
  private final long intervalNanos;
  private final Set<BackendConnection> polled = new LinkedHashSet<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private boolean scheduled;

  /**
   * Creates a poller without connections.
   *
   * @param intervalMillis interval between two reads of a stream, in milliseconds; 0 disables
   *     polling, so that each event wakes the event loop
   */
  StreamPoller(EventLoop loop, WakeUpCounter wakeUps, long intervalMillis) {
    this.loop = loop;
    this.wakeUps = wakeUps;
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
  }

  /**
   * Starts to poll a connection whose stream has just delivered events; the event loop stops
   * reading the connection.
   */
  void add(BackendConnection connection) {
    if (intervalNanos == 0) {
      return;
    }
    connection.consecutiveEmptyReads = 0;
    if (polled.add(connection)) {
      connection.channel.config().setAutoRead(false);
      scheduleNext();
    }
  }

  /** Stops polling a connection. The caller decides whether the event loop reads the connection. */
  void remove(BackendConnection connection) {
    polled.remove(connection);
  }

  private void scheduleNext() {
    if (!scheduled && !polled.isEmpty()) {
      scheduled = true;
      long sinceNanos = Math.floorMod(System.nanoTime(), intervalNanos);
      loop.schedule(this::poll, intervalNanos - sinceNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** Reads all polled connections once. */
  void poll() {
    wakeUps.attribute(WakeUpCause.STREAM_POLL);
    scheduled = false;
    List<BackendConnection> round = new ArrayList<>(polled);
    for (BackendConnection connection : round) {
      if (polled.contains(connection)) {
        read(connection);
      }
    }
    scheduleNext();
  }

  private void read(BackendConnection connection) {
    PendingRead read = connection.channel.readPending(buffer);
    if (!polled.contains(connection)) {
      return; // the response has ended, or reading is paused because the client reads slowly
    }
    switch (read) {
      case BYTES -> {}
      case NONE -> {
        connection.consecutiveEmptyReads++;
        if (connection.consecutiveEmptyReads >= MAX_EMPTY_READS) {
          returnToEventLoop(connection);
        }
      }
      case MORE_BYTES -> returnToEventLoop(connection);
      case ENDED -> connection.channel.close();
    }
  }

  private void returnToEventLoop(BackendConnection connection) {
    polled.remove(connection);
    connection.channel.config().setAutoRead(true);
  }
}
