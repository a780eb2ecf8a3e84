package slateslip.dataplane.backend;

import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.eventloop.WakeUpCounter;
import slateslip.loadbalancer.net.StrictHttpDecoders;

/** Connection to a backend, used by one attempt at a time. */
final class BackendConnection extends ChannelInitializer<PollableSocketChannel> {
  /** Maximum size of a status line, and of the headers of a response, in bytes each. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  /**
   * Time that an idle connection is kept if the backend states no keep-alive timeout: the backend's
   * timeout may be less than a second. This is also the minimum if the backend states a timeout.
   */
  private static final long DEFAULT_KEEP_ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * An idle connection is closed this much earlier than the keep-alive timeout that the backend
   * states.
   */
  private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final String TIMEOUT_PARAMETER = "timeout=";

  final BackendPool pool;
  PollableSocketChannel channel;
  StrictHttpDecoders.Responses decoder;

  /** Attempt that uses this connection, or null if none. */
  BackendAttempt attempt;

  /** Number of consecutive reads in which {@link StreamPoller} found no data. */
  int consecutiveEmptyReads;

  private long idleSince = System.nanoTime();
  private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;

  private final DataPlaneMetrics metrics;

  BackendConnection(BackendPool pool, DataPlaneMetrics metrics) {
    this.pool = pool;
    this.metrics = metrics;
  }

  @Override
  protected void initChannel(PollableSocketChannel opened) {
    channel = opened;
    decoder = new StrictHttpDecoders.Responses(MAX_HEAD_BYTES, MAX_HEAD_BYTES);
    opened
        .pipeline()
        .addLast(decoder, new HttpRequestEncoder(), new ResponseHandler(this, decoder));
  }

  WakeUpCounter wakeUps() {
    return metrics.wakeUps;
  }

  void countMalformedResponse() {
    metrics.malformedResponses++;
  }

  void countSurplusResponse() {
    metrics.surplusResponses++;
  }

  /**
   * Marks this connection as idle from now on: its last attempt ended successfully, or the
   * connection was just established.
   */
  void markIdle() {
    attempt = null;
    idleSince = System.nanoTime();
  }

  long idleNanos() {
    return System.nanoTime() - idleSince;
  }

  /**
   * Returns whether this connection has been idle for so long that the backend may have closed the
   * connection or may be about to close it.
   *
   * @param learnedLimitNanos limit on the idle time that was learned from broken connections, in
   *     nanoseconds
   */
  boolean isExpired(long learnedLimitNanos) {
    return idleNanos() >= Math.min(keepAliveNanos, learnedLimitNanos);
  }

  /**
   * Reads the keep-alive timeout from the {@code Keep-Alive} header of a response, if the header is
   * present.
   */
  void readKeepAliveTimeout(HttpHeaders headers) {
    String keepAlive = headers.get(HeaderNames.KEEP_ALIVE);
    if (keepAlive == null) {
      return;
    }
    for (String parameter : keepAlive.split(",", -1)) {
      String text = parameter.trim();
      if (text.startsWith(TIMEOUT_PARAMETER)) {
        long seconds = StrictHttpDecoders.digits(text.substring(TIMEOUT_PARAMETER.length()), 0);
        long nanos = TimeUnit.SECONDS.toNanos(Math.min(seconds, 3_600));
        keepAliveNanos = Math.max(DEFAULT_KEEP_ALIVE_NANOS, nanos - KEEP_ALIVE_MARGIN_NANOS);
      }
    }
  }
}
