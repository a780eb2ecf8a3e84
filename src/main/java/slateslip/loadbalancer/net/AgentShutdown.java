package slateslip.loadbalancer.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Graceful shutdown of an agent: serves on for as long as its time allows, then finishes what it
 * holds. Guards against nobody being there while agents are restarted in turn and one takes longer
 * than planned until it is ready: clients go on using the connections that they have. Harm: where
 * the end is forced sooner than the protocol has it, requests are open then; and a restart may take
 * 2 s longer. {@link #stop} is called from any thread; all else runs on the event loop.
 */
final class AgentShutdown {
  /** How long new connections come at the most after the end was asked for. */
  private static final long LINGER_MS = 500;

  /** By so much longer than the longest deadline an agent has until it is killed. */
  private static final long KILL_AFTER_MS = 700;

  /**
   * However long the deadlines are, the kill comes as if the longest were this: the protocol has it
   * so.
   */
  private static final long KILL_DEADLINE_MS = 3_000;

  /**
   * So long before that the last answers are given, and so long before those connections begin to
   * end.
   */
  private static final long LAST_MS = 200;

  private static final long CLOSING_MS = 300;

  /** However long the deadlines are, connections begin to end after this. */
  private static final long MAX_SERVE_ON_MS = 2_000;

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
   * Not asked for yet.
   *
   * @param longestTimeoutMillis of all classes of requests in force
   * @param openRequests how many are owed a response
   * @param timeOutRequests answers all of these
   * @param closeAll closes what is left once no client is connected, and calls {@link #ended}
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

  /** Shuts down and returns when all is done. */
  void stop() {
    if (!stopping.getAndSet(true)) {
      loop.execute(this::start);
    }
    awaitEnd();
  }

  private void start() {
    long last =
        Math.min(longestTimeoutMillis.getAsLong(), KILL_DEADLINE_MS) + KILL_AFTER_MS - LAST_MS;
    Agent.say(
        "ending: "
            + openRequests.getAsInt()
            + " requests open, the last answers come after "
            + last
            + " ms");
    clients.startShutdown();
    loop.schedule(this::closeIfUnused, LINGER_MS, TimeUnit.MILLISECONDS);
    loop.schedule(
        this::beginClosing, Math.min(MAX_SERVE_ON_MS, last - CLOSING_MS), TimeUnit.MILLISECONDS);
    loop.schedule(timeOutRequests, last, TimeUnit.MILLISECONDS);
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
    // Answers still being written hold their connections open.
    if (clients.isEmpty()) {
      clients.stopListening();
      closeAll.run();
    } else {
      loop.schedule(this::awaitConnectionsClosed, POLL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** All threads of the agent have ended. */
  void ended() {
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
