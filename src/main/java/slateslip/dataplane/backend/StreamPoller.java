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
 * Reads the connections of running streams together, once in an interval, in place of waking the
 * event loop for each event of each stream. A stream that brings nothing for some intervals is
 * waited for as any other connection, so that no pause between two events grows by this. On the
 * event loop.
 */
final class StreamPoller {
  /** Reads in a row that bring nothing before a connection is waited for again. */
  private static final int MAX_EMPTY_READS = 2;

  private static final int BUFFER_BYTES = 16_384;

  private final EventLoop loop;
  private final WakeUpCounter wakeUps;
  private final long intervalNanos;
  private final Set<BackendConnection> polled = new LinkedHashSet<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private boolean scheduled;

  /**
   * Reads nothing yet.
   *
   * @param intervalMillis between two reads of a stream; 0 if each event wakes the event loop
   */
  StreamPoller(EventLoop loop, WakeUpCounter wakeUps, long intervalMillis) {
    this.loop = loop;
    this.wakeUps = wakeUps;
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
  }

  /** Takes over a connection whose stream has just brought events. */
  void add(BackendConnection connection) {
    if (intervalNanos == 0) {
      return;
    }
    connection.emptyReads = 0;
    if (polled.add(connection)) {
      connection.channel.config().setAutoRead(false);
      scheduleNext();
    }
  }

  /** Leaves a connection alone; the caller says whether the event loop waits for it. */
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

  /** Reads all that it has taken over. */
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
      return; // its response is complete, or its client reads too slowly
    }
    switch (read) {
      case BYTES -> {}
      case NONE -> {
        connection.emptyReads++;
        if (connection.emptyReads >= MAX_EMPTY_READS) {
          leaveToEventLoop(connection);
        }
      }
      case MORE_BYTES -> leaveToEventLoop(connection);
      case ENDED -> connection.channel.close();
    }
  }

  private void leaveToEventLoop(BackendConnection connection) {
    polled.remove(connection);
    connection.channel.config().setAutoRead(true);
  }
}
