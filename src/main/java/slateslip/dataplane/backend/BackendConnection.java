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

/** One connection to a backend; it serves one attempt at a time. */
final class BackendConnection extends ChannelInitializer<PollableSocketChannel> {
  /** Bytes of a status line, and of a response's headers. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  /** How long one is kept whose backend states no time: it may be under a second. */
  private static final long UNSTATED_KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** So much sooner than its backend would close it a connection is given up. */
  private static final long KEEP_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final String TIMEOUT_PARAMETER = "timeout=";

  final BackendPool pool;
  PollableSocketChannel channel;
  StrictHttpDecoders.Responses decoder;

  /** The attempt that uses it; null if none. */
  BackendAttempt attempt;

  /** Reads in a row by which {@link StreamPoller} found nothing. */
  int emptyReads;

  private long idleSince = System.nanoTime();
  private long keepNanos = UNSTATED_KEEP_NANOS;

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

  void malformedResponse() {
    metrics.malformedResponses++;
  }

  void surplusResponse() {
    metrics.surplusResponses++;
  }

  /** Its last attempt has ended well, or it has just come up. */
  void rest() {
    attempt = null;
    idleSince = System.nanoTime();
  }

  long idleNanos() {
    return System.nanoTime() - idleSince;
  }

  /** Whether its backend may have closed it, or is about to. */
  boolean isOld(long learntLimitNanos) {
    return idleNanos() >= Math.min(keepNanos, learntLimitNanos);
  }

  /** Reads how long the backend keeps an idle connection. */
  void learnKeepTime(HttpHeaders headers) {
    String keepAlive = headers.get(HeaderNames.KEEP_ALIVE);
    if (keepAlive == null) {
      return;
    }
    for (String parameter : keepAlive.split(",", -1)) {
      String text = parameter.trim();
      if (text.startsWith(TIMEOUT_PARAMETER)) {
        long seconds = StrictHttpDecoders.digits(text.substring(TIMEOUT_PARAMETER.length()), 0);
        long nanos = TimeUnit.SECONDS.toNanos(Math.min(seconds, 3_600));
        keepNanos = Math.max(UNSTATED_KEEP_NANOS, nanos - KEEP_MARGIN_NANOS);
      }
    }
  }
}
