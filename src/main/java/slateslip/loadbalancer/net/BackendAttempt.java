package slateslip.loadbalancer.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/** One attempt to send a request to a backend, or one probe of a backend. */
final class BackendAttempt {
  /**
   * If a connection is reset within this time of the start of the attempt, the connection was
   * already dead before the attempt.
   */
  private static final long IMMEDIATE_RESET_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  /**
   * The fraction of the connect timeout after which a connection attempt counts as late, so that
   * the agent opens a second connection in parallel.
   */
  private static final double LATE_CONNECT_FRACTION = 0.125;

  private final BackendConnections owner;
  private final long server;
  private final long startedAt = System.nanoTime();
  private final OutgoingRequest request;
  private final Consumer<AttemptResult> onResult;
  private final long deadlineNanos;
  private final boolean hasTimeout;
  private final Future<?> timer;
  private BackendPool pool;
  private BackendConnection connection;

  /**
   * The number of connections that were opened for this attempt. {@link #dialling} holds those that
   * are not connected yet.
   */
  private int dials;

  private final Set<Channel> dialling = new HashSet<>();
  private boolean written;

  /** How long the connection had been idle before this attempt; negative for a new connection. */
  private long idleNanos = -1;

  private boolean ended;

  /**
   * How the attempt ended, or null while the attempt is in flight. Used only for the log, together
   * with the time of the end.
   */
  private Outcome outcome;

  private long endedAt;

  BackendAttempt(
      BackendConnections owner,
      long server,
      OutgoingRequest request,
      long timeoutMicros,
      Consumer<AttemptResult> onResult) {
    this.owner = owner;
    this.server = server;
    this.request = request;
    this.onResult = onResult;
    this.hasTimeout = timeoutMicros > 0;
    this.deadlineNanos = System.nanoTime() + 1000 * timeoutMicros;
    this.timer =
        hasTimeout
            ? owner
                .loop()
                .schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS)
            : null;
  }

  /** Returns whether the request has been written to the socket completely. */
  boolean isWritten() {
    return written;
  }

  OutgoingRequest request() {
    return request;
  }

  long server() {
    return server;
  }

  /** Describes the state of this attempt for the "unserved:" log line. */
  String describe() {
    long nanos = (ended ? endedAt : System.nanoTime()) - startedAt;
    String dialled = dials == 0 ? "" : dials == 1 ? " dialled" : " dialled twice";
    return (outcome == null ? "out" : RequestStatistics.lowerCaseName(outcome))
        + dialled
        + (written ? "" : " unwritten")
        + " after "
        + TimeUnit.NANOSECONDS.toMillis(nanos)
        + " ms";
  }

  void start() {
    pool = owner.pool(server);
    if (pool == null) {
      end(Outcome.NEVER_SENT);
      return;
    }
    BackendConnection idle = owner.takeReusable(pool);
    if (idle != null) {
      idleNanos = startedAt - idle.idleSince();
      write(idle);
    } else if (owner.makeRoomForConnection()) {
      connect();
    } else {
      end(Outcome.NEVER_SENT); // The limit on file descriptors permits no more.
    }
  }

  private void connect() {
    pool.connecting.add(this);
    int timeoutMillis = owner.connectTimeoutMillis();
    dial(timeoutMillis);
    int lateMillis = (int) (LATE_CONNECT_FRACTION * timeoutMillis);
    if (!ended && lateMillis > 0) {
      owner
          .loop()
          .schedule(
              () -> dialSecond(timeoutMillis - lateMillis), lateMillis, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Opens a second connection. On a network on which some connections come up late or never, a
   * single connection attempt would use up most of the request's time. The two connection attempts
   * together take no longer than the connect timeout, because the deduplication window of a retried
   * request depends on that.
   */
  private void dialSecond(int timeoutMillis) {
    if (!ended && connection == null && owner.makeRoomForConnection()) {
      owner.statistics().recordSecondConnect();
      dial(timeoutMillis);
    }
  }

  private void dial(int timeoutMillis) {
    BackendConnection newConnection = new BackendConnection(owner, pool);
    ChannelFuture connecting =
        owner
            .bootstrap()
            .clone()
            .handler(newConnection)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .connect(pool.address);
    if (InspectableSocketChannel.failedToOpenSocket(connecting)) {
      endIfNoConnectPending(Outcome.NEVER_SENT);
      return;
    }
    owner.connectionOpened();
    dials++;
    owner.statistics().recordConnect();
    Channel dialled = connecting.channel();
    dialling.add(dialled);
    dialled.closeFuture().addListener(closed -> owner.connectionClosed());
    connecting.addListener(
        done -> {
          dialling.remove(dialled);
          if (!done.isSuccess()) {
            endIfNoConnectPending(Outcome.CONNECT_FAILED);
          } else if (pool.retired) {
            dialled.close();
          } else if (ended || connection != null) {
            // The connection is established, so the next request can use it.
            returnToPool(newConnection);
          } else {
            pool.connecting.remove(this);
            write(newConnection);
          }
        });
  }

  private void endIfNoConnectPending(Outcome outcome) {
    if (connection == null && dialling.isEmpty()) {
      end(outcome);
    }
  }

  private void returnToPool(BackendConnection unused) {
    unused.markIdle();
    pool.idle.addFirst(unused);
  }

  private void write(BackendConnection to) {
    connection = to;
    to.assign(this);
    var message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(request.headers());
    HttpHeaders headers = message.headers();
    if (!headers.contains(HttpHeaderNames.HOST)) {
      headers.set(HttpHeaderNames.HOST, "backend");
    }
    if (!request.method().equals(HttpMethod.GET)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    if (hasTimeout) {
      headers.set(
          BackendConnections.REQUEST_TIMEOUT,
          Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
    }
    to.channel()
        .writeAndFlush(message)
        .addListener(
            done -> {
              written |= done.isSuccess();
              if (!done.isSuccess()) {
                // The request was not sent completely, so the backend cannot have started to
                // process it.
                end(Outcome.CONNECT_FAILED);
              }
            });
  }

  /**
   * Ends the attempt because its connection was lost. If the request was not written completely,
   * the backend has not processed it.
   */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  void cancel() {
    end(Outcome.CANCELLED);
  }

  void end(Outcome outcome) {
    end(new AttemptResult(outcome, LoadReport.NONE, null, null), false);
  }

  void end(AttemptResult result, boolean reusable) {
    if (ended) {
      return;
    }
    ended = true;
    outcome = result.outcome();
    endedAt = System.nanoTime();
    boolean immediate = outcome == Outcome.RESET && endedAt - startedAt < IMMEDIATE_RESET_NANOS;
    if (outcome == Outcome.RESET) {
      owner.statistics().recordReset(idleNanos >= 0, immediate);
    }
    if (idleNanos >= 0) {
      owner.idleTimeout().recordUse(idleNanos, immediate, endedAt);
    }
    if (timer != null) {
      timer.cancel(false);
    }
    if (pool != null) {
      pool.connecting.remove(this);
    }
    if (connection != null) {
      connection.assign(null);
      if (reusable && written && !pool.retired) {
        returnToPool(connection);
      } else {
        // A late response on this connection must not reach another request.
        connection.channel().close();
      }
    }
    AgentConfig parsedWith = owner.config();
    owner.loop().execute(() -> onResult.accept(owner.withoutStaleLoad(result, parsedWith)));
  }
}
