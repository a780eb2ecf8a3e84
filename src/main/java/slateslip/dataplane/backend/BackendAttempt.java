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

/** One request on its way to one backend. */
public final class BackendAttempt {
  /** How long a connection may take to come up. */
  private static final int CONNECT_MILLIS = 600;

  /** An idle connection that breaks so soon after a write was dead before it. */
  private static final long AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final BackendPools pools;
  private final BackendPool pool;
  private final OutgoingRequest request;
  private final AttemptListener listener;
  private final long startedNanos = System.nanoTime();
  private final Set<Channel> dialling = new HashSet<>();
  private BackendConnection connection;
  private long idledNanos = -1;
  private final RequestTransmission transmission = new RequestTransmission();

  /** Bytes that the connection had taken before this attempt. */
  private long writtenBytesBefore;

  private boolean started;
  private boolean ended;

  /** The client does not read as fast as the backend writes. */
  private boolean readingStopped;

  private Future<?> timer;

  private long dialledNanos;

  /** For a second connection beside the first. */
  private Future<?> dialTimer;

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

  /** Whether the whole request has left. */
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
      timer =
          pools
              .loop()
              .schedule(this::timeOut, request.firstEventTimeoutMicros(), TimeUnit.MICROSECONDS);
    }
    BackendConnection reused = pool.take(pools.idleTimeout().limitNanos());
    if (reused != null) {
      idledNanos = reused.idleNanos();
      pools.metrics().reused++;
      write(reused);
    } else {
      connect();
    }
  }

  private void connect() {
    pool.connecting(this);
    dialledNanos = System.nanoTime();
    dial(CONNECT_MILLIS);
    if (!ended) {
      long lateNanos = pools.connectTimes().lateNanos();
      dialTimer = pools.loop().schedule(this::dialAgain, lateNanos, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Dials a second time beside the first: a lost opening packet is sent again only after seconds.
   */
  private void dialAgain() {
    if (!ended && connection == null) {
      long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dialledNanos);
      dial((int) Math.max(1, CONNECT_MILLIS - passedMillis));
    }
  }

  private void dial(int timeoutMillis) {
    BackendConnection fresh = new BackendConnection(pool, pools.metrics());
    ChannelFuture connecting = pools.dial(pool, fresh, timeoutMillis);
    if (connecting == null) {
      endIfNoneComesUp();
      return;
    }
    dialling.add(connecting.channel());
    connecting.addListener(done -> dialled(fresh, connecting));
  }

  private void dialled(BackendConnection fresh, ChannelFuture connecting) {
    pools.metrics().wakeUps.attribute(WakeUpCause.BACKEND_CONNECT);
    dialling.remove(connecting.channel());
    if (!connecting.isSuccess()) {
      endIfNoneComesUp();
    } else if (ended || connection != null) {
      pool.keep(fresh);
    } else {
      pool.connected(this);
      pools.connectTimes().connected(System.nanoTime() - dialledNanos);
      write(fresh);
    }
  }

  private void endIfNoneComesUp() {
    if (connection == null && dialling.isEmpty()) {
      end(AttemptOutcome.Kind.NOT_SENT);
    }
  }

  private void write(BackendConnection to) {
    if (!request.permitted().getAsBoolean()) {
      pool.keep(to);
      end(AttemptOutcome.Kind.WITHHELD);
      return;
    }
    connection = to;
    writtenBytesBefore = to.channel.writtenBytes();
    cancelDialTimer();
    to.attempt = this;
    to.decoder.expectNoBody(request.method().equals(HttpMethod.HEAD));
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
    to.channel
        .writeAndFlush(message)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                transmission.completed();
              } else {
                broken();
              }
            });
  }

  /** The head of a response of its own has come. */
  void responseStarted() {
    transmission.responseStarted();
  }

  private SentBytes sentBytes() {
    if (connection == null) {
      return SentBytes.NONE;
    }
    long sent = connection.channel.writtenBytes() - writtenBytesBefore;
    return new SentBytes(sent, sent + connection.channel.unwrittenBytes());
  }

  /** The head of a stream has come. */
  void streamBegan(BackendResponse head, BackendLoad load) {
    listener.streamBegan(head, load);
  }

  /** A whole event has come. */
  void event(StreamEvent event) {
    if (ended) {
      return;
    }
    lastEventNanos = System.nanoTime();
    if (!started) {
      started = true;
      cancelTimer();
      startIdleTimer(request.idleTimeoutMicros());
    }
    listener.event(event);
  }

  private void startIdleTimer(long micros) {
    if (micros > 0) {
      timer = pools.loop().schedule(this::checkIdleTimeout, micros, TimeUnit.MICROSECONDS);
    }
  }

  private void checkIdleTimeout() {
    long idleMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - lastEventNanos);
    long leftMicros = request.idleTimeoutMicros() - idleMicros;
    if (leftMicros > 0 || readingStopped) {
      startIdleTimer(Math.max(leftMicros, 1_000));
      return;
    }
    lastEventNanos = System.nanoTime();
    startIdleTimer(request.idleTimeoutMicros());
    listener.idle();
  }

  /** What had come has been told. */
  void readComplete() {
    if (ended) {
      return;
    }
    listener.readComplete();
    if (started && !ended && !readingStopped) {
      pools.streamPoller().add(connection);
    }
  }

  /** Stops or goes on reading; a backend that is not read from is held up. */
  public void setReading(boolean reading) {
    if (ended || connection == null || readingStopped != reading) {
      return;
    }
    readingStopped = !reading;
    pools.streamPoller().remove(connection);
    connection.channel.config().setAutoRead(reading);
  }

  private void timeOut() {
    transmission.sent(sentBytes().sent());
    end(transmission.outcomeIfTimedOut());
  }

  /** The connection has ended under the attempt, or what came is no response. */
  void broken() {
    transmission.sent(sentBytes().sent());
    end(transmission.outcomeIfBroken());
  }

  /** Stops it and closes its connection. */
  public void cancel() {
    end(AttemptOutcome.Kind.CANCELLED);
  }

  private void end(AttemptOutcome.Kind kind) {
    end(AttemptResult.without(kind), false);
  }

  void end(AttemptResult result, boolean reusable) {
    if (ended) {
      return;
    }
    ended = true;
    SentBytes sentBytes = sentBytes();
    pools.metrics().partlySent += sentBytes.isPartial() ? 1 : 0;
    cancelTimer();
    cancelDialTimer();
    if (idledNanos >= 0) {
      long now = System.nanoTime();
      boolean atOnce =
          result.outcome().kind() == AttemptOutcome.Kind.BROKEN
              && now - startedNanos < AT_ONCE_NANOS;
      pools.idleTimeout().recordUse(idledNanos, atOnce, now);
    }
    if (pool != null) {
      pool.connected(this);
    }
    if (connection != null) {
      pools.streamPoller().remove(connection);
      connection.attempt = null;
      if (reusable) {
        connection.channel.config().setAutoRead(true);
        pool.keep(connection);
      } else {
        connection.channel.close();
      }
    }
    pools.loop().execute(() -> listener.ended(result.with(sentBytes)));
  }

  private void cancelDialTimer() {
    if (dialTimer != null) {
      dialTimer.cancel(false);
      dialTimer = null;
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
