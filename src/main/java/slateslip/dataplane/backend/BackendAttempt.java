package slateslip.dataplane.backend;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.stream.StreamEvent;
import slateslip.eventloop.WakeUpCause;
import slateslip.routing.RequestTransmission;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Sends one request to one backend and reports the result to a listener. Confined to the event
 * loop.
 */
public final class BackendAttempt {
  /**
   * Timeout for establishing a connection; it applies to the first and the second dial together.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 600;

  /**
   * A reused connection that breaks within this time after the start of the attempt counts as dead
   * before the attempt: the connection was lost while it was idle.
   */
  private static final long DEAD_ON_REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final BackendPools pools;
  private final BackendPool pool;
  private final OutgoingRequest request;
  private final AttemptListener listener;
  private final long startedNanos = System.nanoTime();
  private final Set<Channel> connectingChannels = new HashSet<>();
  private BackendConnection connection;
  private long reusedIdleNanos = -1;
  private final RequestTransmission transmission = new RequestTransmission();

  /** Number of bytes that were written to the connection before this attempt. */
  private long writtenBytesAtStart;

  private boolean firstEventReceived;
  private boolean ended;

  /**
   * Whether reading from the backend is paused because the client reads more slowly than the
   * backend writes.
   */
  private boolean readingPaused;

  private Future<?> timeoutTimer;

  private long dialStartNanos;

  /** Dials a second connection if the first is not established in time. */
  private Future<?> secondDialTimer;

  private long lastEventNanos;

  BackendAttempt(
      BackendPools pools, BackendPool pool, OutgoingRequest request, AttemptListener listener) {
    this.pools = pools;
    this.pool = pool;
    this.request = request;
    this.listener = listener;
  }

  OutgoingRequest request() {
    return request;
  }

  /** Returns whether the connection has taken the whole request. */
  boolean isWritten() {
    return transmission.isComplete();
  }

  boolean isEnded() {
    return ended;
  }

  BackendPool pool() {
    return pool;
  }

  void start() {
    if (pool == null || pool.isRetired()) {
      end(AttemptOutcome.Kind.NOT_SENT);
      return;
    }
    if (request.firstEventTimeoutMicros() > 0) {
      timeoutTimer =
          pools
              .loop()
              .schedule(this::timeOut, request.firstEventTimeoutMicros(), TimeUnit.MICROSECONDS);
    }
    BackendConnection reused = pool.takeIdle(pools.idleTimeout().limitNanos());
    if (reused != null) {
      reusedIdleNanos = reused.idleNanos();
      pools.metrics().reused++;
      write(reused);
    } else {
      connect();
    }
  }

  private void connect() {
    pool.connectStarted(this);
    dialStartNanos = System.nanoTime();
    dial(CONNECT_TIMEOUT_MILLIS);
    if (!ended) {
      long secondDialDelayNanos = pools.connectTimes().secondDialDelayNanos();
      secondDialTimer =
          pools.loop().schedule(this::dialSecond, secondDialDelayNanos, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Dials a second connection in parallel with the first. If the first packet of the TCP handshake
   * is lost, TCP sends the packet again only after seconds.
   */
  private void dialSecond() {
    if (!ended && connection == null) {
      long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dialStartNanos);
      dial((int) Math.max(1, CONNECT_TIMEOUT_MILLIS - passedMillis));
    }
  }

  private void dial(int timeoutMillis) {
    BackendConnection newConnection = new BackendConnection(pool, pools.metrics());
    ChannelFuture connecting = pools.dial(pool, newConnection, timeoutMillis);
    if (connecting == null) {
      endIfNoDialPending();
      return;
    }
    connectingChannels.add(connecting.channel());
    connecting.addListener(done -> dialEnded(newConnection, connecting));
  }

  private void dialEnded(BackendConnection newConnection, ChannelFuture connecting) {
    pools.metrics().wakeUps.attribute(WakeUpCause.BACKEND_CONNECT);
    connectingChannels.remove(connecting.channel());
    if (!connecting.isSuccess()) {
      endIfNoDialPending();
    } else if (ended || connection != null) {
      pool.release(newConnection);
    } else {
      pool.connectEnded(this);
      pools.connectTimes().recordConnectTime(System.nanoTime() - dialStartNanos);
      write(newConnection);
    }
  }

  private void endIfNoDialPending() {
    if (connection == null && connectingChannels.isEmpty()) {
      end(AttemptOutcome.Kind.NOT_SENT);
    }
  }

  private void write(BackendConnection target) {
    if (!request.permitted().getAsBoolean()) {
      pool.release(target);
      end(AttemptOutcome.Kind.WITHHELD);
      return;
    }
    connection = target;
    writtenBytesAtStart = target.channel.writtenBytes();
    cancelSecondDialTimer();
    target.attempt = this;
    target.decoder.expectNoBody(request.method().equals(HttpMethod.HEAD));
    var message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(request.headers());
    boolean bodiless =
        request.body().length == 0
            && (request.method().equals(HttpMethod.GET)
                || request.method().equals(HttpMethod.HEAD));
    if (!bodiless) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    if (request.deadlineMillis() > 0) {
      long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
      message
          .headers()
          .set(HeaderNames.DEADLINE_MS, Math.max(1, request.deadlineMillis() - passed));
    }
    target
        .channel
        .writeAndFlush(message)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                transmission.completed();
              } else {
                connectionBroken();
              }
            });
  }

  /** Records that the head of a response to this request has arrived. */
  void responseStarted() {
    transmission.responseStarted();
  }

  private SentBytes sentBytes() {
    if (connection == null) {
      return SentBytes.NONE;
    }
    long sent = connection.channel.writtenBytes() - writtenBytesAtStart;
    return new SentBytes(sent, sent + connection.channel.unwrittenBytes());
  }

  /** Reports the head of a stream to the listener. */
  void streamStarted(BackendResponse head, BackendLoad load) {
    listener.streamStarted(head, load);
  }

  /**
   * Reports a complete event to the listener. The first event stops the first-event timeout and
   * starts the idle timeout.
   */
  void eventReceived(StreamEvent event) {
    if (ended) {
      return;
    }
    lastEventNanos = System.nanoTime();
    if (!firstEventReceived) {
      firstEventReceived = true;
      cancelTimeoutTimer();
      startIdleTimer(request.idleTimeoutMicros());
    }
    listener.eventReceived(event);
  }

  private void startIdleTimer(long micros) {
    if (micros > 0) {
      timeoutTimer = pools.loop().schedule(this::checkIdleTimeout, micros, TimeUnit.MICROSECONDS);
    }
  }

  private void checkIdleTimeout() {
    long idleMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - lastEventNanos);
    long leftMicros = request.idleTimeoutMicros() - idleMicros;
    if (leftMicros > 0 || readingPaused) {
      startIdleTimer(Math.max(leftMicros, 1_000));
      return;
    }
    lastEventNanos = System.nanoTime();
    startIdleTimer(request.idleTimeoutMicros());
    listener.streamIdle();
  }

  /**
   * Informs the listener that all arrived data has been reported, and adds the connection of a
   * running stream to the stream poller.
   */
  void readComplete() {
    if (ended) {
      return;
    }
    listener.readComplete();
    if (firstEventReceived && !ended && !readingPaused) {
      pools.streamPoller().add(connection);
    }
  }

  /**
   * Pauses or resumes reading from the backend. While reading is paused, TCP flow control stops the
   * backend from writing.
   */
  public void setReading(boolean reading) {
    if (ended || connection == null || readingPaused != reading) {
      return;
    }
    readingPaused = !reading;
    pools.streamPoller().remove(connection);
    connection.channel.config().setAutoRead(reading);
  }

  private void timeOut() {
    transmission.sent(sentBytes().sent());
    end(transmission.outcomeIfTimedOut());
  }

  /**
   * Ends the attempt because the connection broke or because the received data is not a valid
   * response.
   */
  void connectionBroken() {
    transmission.sent(sentBytes().sent());
    end(transmission.outcomeIfBroken());
  }

  /** Cancels the attempt and closes its connection. */
  public void cancel() {
    end(AttemptOutcome.Kind.CANCELLED);
  }

  private void end(AttemptOutcome.Kind kind) {
    end(AttemptResult.withoutResponse(kind), false);
  }

  void end(AttemptResult result, boolean reusable) {
    if (ended) {
      return;
    }
    ended = true;
    SentBytes sentBytes = sentBytes();
    pools.metrics().partlySent += sentBytes.isPartial() ? 1 : 0;
    cancelTimeoutTimer();
    cancelSecondDialTimer();
    if (reusedIdleNanos >= 0) {
      long now = System.nanoTime();
      boolean deadOnReuse =
          result.outcome().kind() == AttemptOutcome.Kind.BROKEN
              && now - startedNanos < DEAD_ON_REUSE_NANOS;
      pools.idleTimeout().recordUse(reusedIdleNanos, deadOnReuse, now);
    }
    if (pool != null) {
      pool.connectEnded(this);
    }
    if (connection != null) {
      pools.streamPoller().remove(connection);
      connection.attempt = null;
      if (reusable) {
        connection.channel.config().setAutoRead(true);
        pool.release(connection);
      } else {
        connection.channel.close();
      }
    }
    pools.loop().execute(() -> listener.ended(result.withSentBytes(sentBytes)));
  }

  private void cancelSecondDialTimer() {
    if (secondDialTimer != null) {
      secondDialTimer.cancel(false);
      secondDialTimer = null;
    }
  }

  private void cancelTimeoutTimer() {
    if (timeoutTimer != null) {
      timeoutTimer.cancel(false);
      timeoutTimer = null;
    }
  }
}
