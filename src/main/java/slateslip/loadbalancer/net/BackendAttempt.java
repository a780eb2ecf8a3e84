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

/** One request on its way to a server, or a probe. */
final class BackendAttempt {
  /** A connection that breaks so soon after a write was dead before it. */
  private static final long IMMEDIATE_RESET_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  /**
   * After this part of the time that a connection may take it is late; another is dialled beside
   * it.
   */
  private static final double LATE_CONNECT_FRACTION = 0.125;

  private final BackendConnections owner;
  private final long server;
  private final long startedAt = System.nanoTime();
  private final OutgoingRequest request;
  private final Consumer<AttemptResult> onResult;
  private final long endAt;
  private final boolean hasTimeout;
  private final Future<?> timer;
  private BackendPool pool;
  private BackendConnection connection;

  /** How many connections were dialled for it, and those of them that are not up yet. */
  private int dials;

  private final Set<Channel> dialling = new HashSet<>();
  private boolean written;

  /** How long its connection had idled before; negative for a new one. */
  private long idledNanos = -1;

  private boolean ended;

  /** For the log: how it ended and when. */
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
    this.endAt = System.nanoTime() + 1000 * timeoutMicros;
    this.timer =
        hasTimeout
            ? owner
                .loop()
                .schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS)
            : null;
  }

  /** Whether its request has left this process. */
  boolean isWritten() {
    return written;
  }

  OutgoingRequest request() {
    return request;
  }

  long server() {
    return server;
  }

  /** What became of it, in words for the log. */
  String describe() {
    long nanos = (ended ? endedAt : System.nanoTime()) - startedAt;
    String dialled = dials == 0 ? "" : dials == 1 ? " dialled" : " dialled twice";
    return (outcome == null ? "out" : RequestStatistics.word(outcome))
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
      idledNanos = startedAt - idle.idleSince();
      write(idle);
    } else if (owner.makeRoomForConnection()) {
      connect();
    } else {
      end(Outcome.NEVER_SENT); // Guards against running out of descriptors.
    }
  }

  private void connect() {
    pool.connecting.add(this);
    int timeoutMillis = owner.connectTimeoutMillis();
    dial(timeoutMillis);
    int late = (int) (LATE_CONNECT_FRACTION * timeoutMillis);
    if (!ended && late > 0) {
      owner.loop().schedule(() -> dialSecond(timeoutMillis - late), late, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Guards against a network that brings some connections up late or never: each would cost its
   * request most of its time. Both dials together take no longer than one may, for a repeat's
   * window depends on that.
   */
  private void dialSecond(int timeoutMillis) {
    if (!ended && connection == null && owner.makeRoomForConnection()) {
      owner.statistics().secondConnectionDialled();
      dial(timeoutMillis);
    }
  }

  private void dial(int timeoutMillis) {
    BackendConnection fresh = new BackendConnection(owner, pool);
    ChannelFuture connecting =
        owner
            .bootstrap()
            .clone()
            .handler(fresh)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .connect(pool.address);
    if (InspectableSocketChannel.noSocket(connecting)) {
      endIfNoneComesUp(Outcome.NEVER_SENT);
      return;
    }
    owner.connectionOpened();
    dials++;
    owner.statistics().connectionDialled();
    Channel dialled = connecting.channel();
    dialling.add(dialled);
    dialled.closeFuture().addListener(closed -> owner.connectionClosed());
    connecting.addListener(
        done -> {
          dialling.remove(dialled);
          if (!done.isSuccess()) {
            endIfNoneComesUp(Outcome.CONNECT_FAILED);
          } else if (pool.retired) {
            dialled.close();
          } else if (ended || connection != null) {
            keep(fresh); // it has its price paid, and serves the next
          } else {
            pool.connecting.remove(this);
            write(fresh);
          }
        });
  }

  private void endIfNoneComesUp(Outcome outcome) {
    if (connection == null && dialling.isEmpty()) {
      end(outcome);
    }
  }

  private void keep(BackendConnection unused) {
    unused.markIdle();
    pool.idle.addFirst(unused);
  }

  private void write(BackendConnection to) {
    connection = to;
    to.use(this);
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
          BackendConnections.REQUEST_TIMEOUT, Math.max(1, (endAt - System.nanoTime()) / 1_000_000));
    }
    to.channel()
        .writeAndFlush(message)
        .addListener(
            done -> {
              written |= done.isSuccess();
              if (!done.isSuccess()) {
                end(Outcome.CONNECT_FAILED); // the last byte never left, so it cannot have begun
              }
            });
  }

  /**
   * The connection has ended under the attempt. Before its last byte was written it did not run.
   */
  void broken() {
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
    boolean atOnce = outcome == Outcome.RESET && endedAt - startedAt < IMMEDIATE_RESET_NANOS;
    if (outcome == Outcome.RESET) {
      owner.statistics().connectionReset(idledNanos >= 0, atOnce);
    }
    if (idledNanos >= 0) {
      owner.idleTimeout().recordUse(idledNanos, atOnce, endedAt);
    }
    if (timer != null) {
      timer.cancel(false);
    }
    if (pool != null) {
      pool.connecting.remove(this);
    }
    if (connection != null) {
      connection.use(null);
      if (reusable && written && !pool.retired) {
        keep(connection);
      } else {
        connection.channel().close(); // what may still come on it belongs to nobody
      }
    }
    AgentConfig readUnder = owner.config();
    owner.loop().execute(() -> onResult.accept(owner.reported(result, readUnder)));
  }
}
