package slateslip.loadbalancer.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Shuts an agent down gracefully: the agent first keeps serving for as long as its time permits and
 * then completes the requests in flight. During a rolling restart the next agent may take longer
 * than planned to become ready; clients can meanwhile keep using their connections to this one.
 * Drawbacks: if the process is killed sooner than the protocol permits, requests are still open at
 * that moment, and a restart may take 2 s longer. {@link #stop} may be called from any thread;
 * everything else runs on the event loop.
 */
final class AgentShutdown {
  /**
   * The longest time after the start of the shutdown during which clients still open new
   * connections. After this time the agent stops as soon as no client is connected.
   */
  private static final long LAST_ARRIVAL_MS = 500;

  /** The time between the longest deadline of a request and the kill of the process. */
  private static final long KILL_AFTER_MS = 700;

  /**
   * Upper limit for the longest deadline in the calculation of the kill time, as the protocol
   * defines it, however long the configured deadlines are.
   */
  private static final long MAX_DEADLINE_MS = 3_000;

  /**
   * How long before the kill the agent sends the last responses. {@link #CLOSING_MS} is how long
   * before these responses the agent starts to close connections.
   */
  private static final long LAST_RESPONSE_MARGIN_MS = 200;

  private static final long CLOSING_MS = 300;

  /** The time after which the agent starts to close connections, however long the deadlines are. */
  private static final long MAX_SERVING_MS = 2_000;

  private static final long POLL_MS = 10;

  private final EventLoop loop;
  private final ClientServer clients;
  private final LongSupplier longestTimeoutMillis;
  private final IntSupplier openRequests;
  private final Runnable timeOutRequests;
  private final Runnable closeAll;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CountDownLatch ended = new CountDownLatch(1);
  private boolean closing;

  /**
   * Creates the shutdown procedure without starting it.
   *
   * @param longestTimeoutMillis returns the longest timeout of the request classes in force
   * @param openRequests returns the number of requests without a final response
   * @param timeOutRequests sends a final response to all open requests
   * @param closeAll closes the remaining resources after the last client connection, and causes a
   *     call of {@link #markEnded}
   */
  AgentShutdown(
      EventLoop loop,
      ClientServer clients,
      LongSupplier longestTimeoutMillis,
      IntSupplier openRequests,
      Runnable timeOutRequests,
      Runnable closeAll) {
    this.loop = loop;
    this.clients = clients;
    this.longestTimeoutMillis = longestTimeoutMillis;
    this.openRequests = openRequests;
    this.timeOutRequests = timeOutRequests;
    this.closeAll = closeAll;
  }

  boolean isStopping() {
    return stopping.get();
  }

  /**
   * Starts the shutdown unless it has already started, and returns when all threads of the agent
   * have ended.
   */
  void stop() {
    if (!stopping.getAndSet(true)) {
      loop.execute(this::start);
    }
    awaitEnd();
  }

  private void start() {
    long lastResponseMs =
        Math.min(longestTimeoutMillis.getAsLong(), MAX_DEADLINE_MS)
            + KILL_AFTER_MS
            - LAST_RESPONSE_MARGIN_MS;
    Agent.logLine(
        "ending: "
            + openRequests.getAsInt()
            + " requests open, the last answers come after "
            + lastResponseMs
            + " ms");
    clients.startShutdown();
    loop.schedule(this::closeIfUnused, LAST_ARRIVAL_MS, TimeUnit.MILLISECONDS);
    loop.schedule(
        this::beginClosing,
        Math.min(MAX_SERVING_MS, lastResponseMs - CLOSING_MS),
        TimeUnit.MILLISECONDS);
    loop.schedule(timeOutRequests, lastResponseMs, TimeUnit.MILLISECONDS);
  }

  private void closeIfUnused() {
    if (clients.isEmpty()) {
      beginClosing();
    } else {
      loop.schedule(this::closeIfUnused, POLL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void beginClosing() {
    if (!closing) {
      closing = true;
      clients.drain();
      loop.schedule(clients::stopListening, CLOSING_MS / 2, TimeUnit.MILLISECONDS);
      awaitConnectionsClosed();
    }
  }

  private void awaitConnectionsClosed() {
    // A connection stays in this count until its last response is written.
    if (clients.isEmpty()) {
      clients.stopListening();
      closeAll.run();
    } else {
      loop.schedule(this::awaitConnectionsClosed, POLL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Marks that all threads of the agent have ended. */
  void markEnded() {
    ended.countDown();
  }

  void awaitEnd() {
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
