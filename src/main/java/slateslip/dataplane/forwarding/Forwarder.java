package slateslip.dataplane.forwarding;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import slateslip.configuration.HeaderText;
import slateslip.configuration.RoutingTable;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.RequestOutcome;
import slateslip.dataplane.backend.BackendAttempt;
import slateslip.dataplane.backend.BackendPools;
import slateslip.dataplane.backend.OutgoingRequest;
import slateslip.dataplane.backend.ProbeResult;
import slateslip.dataplane.ingress.ClientExchange;
import slateslip.dataplane.ingress.ClientRequest;
import slateslip.dataplane.ingress.DropReason;
import slateslip.dataplane.ingress.IngressListener;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.eventloop.WakeUpCause;
import slateslip.routing.AbortReason;
import slateslip.routing.KeyLease;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterOutput;

/**
 * Holds the requests that are under way, and carries out the router's outputs for them. On the
 * event loop.
 */
public final class Forwarder implements IngressListener {
  private static final Logger LOG = Logger.getLogger(Forwarder.class);
  private static final int ATTEMPT_ID_DIGITS = 16;

  private final BackendPools pools;
  private final DataPlaneMetrics metrics;
  private final RouterDriver driver;
  private final LongSupplier microClock;
  private final KeyLease keyLease;
  private final SplittableRandom random;
  private final Map<Long, ForwardedRequest> open = new HashMap<>();
  private final Map<ClientExchange, ForwardedRequest> byExchange = new HashMap<>();
  private final RequestLog requestLog;
  private long nextId = 1;

  /** For this router, whose clock is {@code microClock}. */
  public Forwarder(
      EventLoop loop,
      RequestRouter router,
      LongSupplier microClock,
      BackendPools pools,
      DataPlaneMetrics metrics,
      long seed,
      KeyLease keyLease) {
    this.microClock = microClock;
    this.keyLease = keyLease;
    this.pools = pools;
    this.metrics = metrics;
    this.requestLog = new RequestLog(metrics);
    this.random = new SplittableRandom(seed);
    this.driver = new RouterDriver(router, loop, microClock, this::carryOut, metrics.wakeUps);
  }

  /** Wakes the router if it is due to be. */
  public void wakeIfDue() {
    driver.wakeIfDue();
  }

  /** How many requests are under way. */
  public int openRequests() {
    return open.size();
  }

  /** Another configuration is in force. */
  public void tableChanged(RoutingTable table) {
    pools.tableChanged(table);
    driver.feed(new RouterInput.TableChanged(table));
  }

  /** The whole list of registered backends. */
  public void backendsChanged(List<BackendSession> backends) {
    pools.backendsChanged(backends);
    driver.feed(new RouterInput.BackendsChanged(backends));
  }

  /** This data plane's share of the fleet-wide limits. */
  public void sharesChanged(QuotaAllocation shares) {
    pools.dataPlaneCountChanged(shares.dataPlanes());
    driver.feed(new RouterInput.QuotaAllocationChanged(shares));
  }

  /** Requests with keys may be sent until this time. */
  public void keyLeaseExtended(long untilMicros) {
    keyLease.extendTo(untilMicros);
    driver.feed(new RouterInput.KeyLeaseExtended(untilMicros));
  }

  /** The process is leaving. */
  public void startShutdown() {
    driver.feed(new RouterInput.ShutdownStarted());
  }

  /**
   * Ends all requests; for the very end of the process. A response that has begun is broken off,
   * any other says that the time is up.
   */
  public void abortAll() {
    for (ForwardedRequest forwarded : List.copyOf(open.values())) {
      if (forwarded.exchange.isStarted()) {
        breakOff(forwarded, AbortReason.SHUTDOWN);
      } else {
        forwarded.account.ended(RequestOutcome.TIMED_OUT);
        forwarded.exchange.respond(HttpResponseStatus.GATEWAY_TIMEOUT, 0);
      }
      driver.feed(new RouterInput.ClientGone(forwarded.id)); // cancels its attempts
      forgetIfDone(forwarded);
    }
  }

  @Override
  public void requestArrived(ClientRequest request, ClientExchange exchange) {
    metrics.wakeUps.attribute(WakeUpCause.CLIENT);
    metrics.requests++;
    String sent = request.attributes().attemptId();
    String attemptId = sent.isEmpty() ? drawAttemptId() : sent;
    var forwarded = new ForwardedRequest(nextId++, request, exchange, attemptId);
    open.put(forwarded.id, forwarded);
    byExchange.put(exchange, forwarded);
    driver.feed(new RouterInput.RequestArrived(forwarded.id, request.attributes()));
    forgetIfDone(forwarded);
  }

  private String drawAttemptId() {
    String digits = Long.toHexString(random.nextLong());
    return "0".repeat(ATTEMPT_ID_DIGITS - digits.length()) + digits;
  }

  @Override
  public void clientGone(ClientExchange exchange) {
    ForwardedRequest forwarded = byExchange.get(exchange);
    if (forwarded == null) {
      return;
    }
    metrics.wakeUps.attribute(WakeUpCause.CLIENT);
    metrics.clientsGone++;
    forwarded.account.ended(RequestOutcome.CLIENT_GONE);
    driver.feed(new RouterInput.ClientGone(forwarded.id));
    forgetIfDone(forwarded);
  }

  @Override
  public void requestDropped(ClientRequest request, DropReason reason) {
    metrics.dropped++;
    String attemptId = HeaderText.decode(request.attributes().attemptId());
    LOG.infof("request dropped: reason=%s attempt_id=%s", reason, attemptId);
  }

  @Override
  public void clientWritable(ClientExchange exchange) {
    ForwardedRequest forwarded = byExchange.get(exchange);
    if (forwarded != null) {
      forwarded.attempts.values().forEach(attempt -> attempt.setReading(true));
    }
  }

  private void forgetIfDone(ForwardedRequest forwarded) {
    if (forwarded.isDone() && open.remove(forwarded.id) != null) {
      byExchange.remove(forwarded.exchange);
      requestLog.ended(forwarded);
    }
  }

  private void carryOut(RouterOutput output) {
    if (output instanceof RouterOutput.SendAttempt send) {
      send(send);
    } else if (output instanceof RouterOutput.Respond response) {
      respond(response);
    } else if (output instanceof RouterOutput.RelayError relay) {
      relayError(relay);
    } else if (output instanceof RouterOutput.AbortConnection end) {
      breakOff(end.request(), end.reason());
    } else if (output instanceof RouterOutput.CancelAttempt cancel) {
      cancel(cancel);
    } else if (output instanceof RouterOutput.Probe probe) {
      pools.probe(probe.backendId(), result -> probed(probe.backendId(), result));
    }
  }

  private void probed(String backendId, ProbeResult result) {
    driver.feed(new RouterInput.ProbeEnded(backendId, result.outcome(), result.load()));
  }

  private void send(RouterOutput.SendAttempt send) {
    ForwardedRequest forwarded = open.get(send.request());
    if (forwarded == null) {
      throw new IllegalStateException("attempt for a request that is over: " + send);
    }
    var relay =
        new AttemptRelay(forwarded, send.attempt(), driver, metrics, () -> forgetIfDone(forwarded));
    BackendAttempt attempt = pools.send(send.backendId(), outgoing(forwarded, send), relay);
    forwarded.attempts.put(send.attempt(), attempt);
    forwarded.history.began(send.backendId());
    forwarded.account.sent(System.nanoTime(), send.estimate());
  }

  private OutgoingRequest outgoing(ForwardedRequest forwarded, RouterOutput.SendAttempt send) {
    ClientRequest request = forwarded.request;
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    headers.set(HeaderNames.ATTEMPT_ID, forwarded.attemptId);
    if (HeaderText.fits(send.backendId())) {
      headers.set(HeaderNames.TARGET_INSTANCE, HeaderText.encode(send.backendId()));
    }
    if (send.tenant() != null) {
      headers.set(HeaderNames.TENANT, HeaderText.encode(send.tenant()));
    }
    if (send.priority() != RouterOutput.NO_PRIORITY) {
      headers.set(HeaderNames.PRIORITY, send.priority());
    }
    boolean afterLast = send.resumeAfter() == RouterOutput.AFTER_LAST_EVENT;
    long resumeAfter = afterLast ? forwarded.lastEventId : send.resumeAfter();
    if (resumeAfter != RouterOutput.AS_SENT) {
      headers.set(HeaderNames.LAST_EVENT_ID, resumeAfter);
    }
    return new OutgoingRequest(
        request.method(),
        request.uri(),
        headers,
        request.body(),
        forwarded.attemptId,
        send.deadlineMillis(),
        send.firstEventTimeoutMicros(),
        send.idleTimeoutMicros(),
        () -> send.tenant() == null || keyLease.isHeld(microClock.getAsLong()));
  }

  private void respond(RouterOutput.Respond response) {
    ForwardedRequest forwarded = open.get(response.request());
    if (forwarded == null) {
      return;
    }
    if (forwarded.exchange.isStarted()) {
      breakOff(response.request(), AbortReason.NO_BACKEND);
      return;
    }
    metrics.localResponses++;
    forwarded.account.ended(RequestOutcome.ofLocalResponse(response.status()));
    HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
    forwarded.exchange.respond(status, response.retryAfterMicros());
    forgetIfDone(forwarded);
  }

  private void relayError(RouterOutput.RelayError relay) {
    ForwardedRequest forwarded = open.get(relay.request());
    if (forwarded == null) {
      return;
    }
    if (forwarded.exchange.isStarted()) {
      breakOff(relay.request(), AbortReason.ATTEMPTS_EXHAUSTED);
      return;
    }
    forwarded.account.ended(RequestOutcome.FAILED);
    AttemptRelay.relay(forwarded, forwarded.failures.get(relay.attempt()));
    forgetIfDone(forwarded);
  }

  private void breakOff(long request, AbortReason reason) {
    ForwardedRequest forwarded = open.get(request);
    if (forwarded == null) {
      return;
    }
    breakOff(forwarded, reason);
    forgetIfDone(forwarded);
  }

  /** Ends the client's connection with the response incomplete, and says why. */
  private void breakOff(ForwardedRequest forwarded, AbortReason reason) {
    if (forwarded.exchange.isEnded()) {
      return;
    }
    metrics.brokenOff(reason);
    forwarded.account.ended(RequestOutcome.BROKEN_OFF);
    LOG.infof(
        "response broken off: reason=%s attempt_id=%s held_ms=%d last_event=%d attempts=%s",
        reason,
        forwarded.attemptIdText(),
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - forwarded.account.arrivedNanos()),
        forwarded.lastEventId,
        forwarded.history);
    forwarded.exchange.abort();
  }

  private void cancel(RouterOutput.CancelAttempt cancel) {
    ForwardedRequest forwarded = open.get(cancel.request());
    BackendAttempt attempt = forwarded == null ? null : forwarded.attempts.get(cancel.attempt());
    if (attempt != null) {
      attempt.cancel();
    }
  }
}
