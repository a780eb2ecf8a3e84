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
 * Holds the requests in progress and executes the router's outputs for them. Confined to the event
 * loop.
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
  private final Map<Long, ForwardedRequest> requestsById = new HashMap<>();
  private final Map<ClientExchange, ForwardedRequest> requestsByExchange = new HashMap<>();
  private final RequestLog requestLog;
  private long nextId = 1;

  /**
   * Creates a forwarder without requests.
   *
   * @param microClock monotonic clock of the router, in microseconds
   * @param seed seed of the random generator for attempt ids
   * @param keyLease must be held when a request with an API key is sent to a backend
   */
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
    this.driver = new RouterDriver(router, loop, microClock, this::execute, metrics.wakeUps);
  }

  /** Wakes the router if its next requested wake-up time has passed. */
  public void wakeIfDue() {
    driver.wakeIfDue();
  }

  /** Returns the number of requests in progress. */
  public int openRequests() {
    return requestsById.size();
  }

  /** Applies the routing table of a new configuration. */
  public void tableChanged(RoutingTable table) {
    pools.tableChanged(table);
    driver.feed(new RouterInput.TableChanged(table));
  }

  /** Applies the complete list of registered backends. */
  public void backendsChanged(List<BackendSession> backends) {
    pools.backendsChanged(backends);
    driver.feed(new RouterInput.BackendsChanged(backends));
  }

  /** Applies this data plane's allocation of the fleet-wide quotas. */
  public void quotaAllocationChanged(QuotaAllocation allocation) {
    pools.dataPlaneCountChanged(allocation.dataPlanes());
    driver.feed(new RouterInput.QuotaAllocationChanged(allocation));
  }

  /**
   * Extends the key lease: requests with API keys may be sent to backends until this time, in
   * microseconds of the router's clock.
   */
  public void keyLeaseExtended(long untilMicros) {
    keyLease.extendTo(untilMicros);
    driver.feed(new RouterInput.KeyLeaseExtended(untilMicros));
  }

  /** Informs the router that the shutdown of this process has started. */
  public void startShutdown() {
    driver.feed(new RouterInput.ShutdownStarted());
  }

  /**
   * Ends all requests immediately; called at the end of the shutdown. A response that has started
   * is aborted; all other requests receive status 504 (gateway timeout).
   */
  public void abortAll() {
    for (ForwardedRequest forwarded : List.copyOf(requestsById.values())) {
      if (forwarded.exchange.isStarted()) {
        abortResponse(forwarded, AbortReason.SHUTDOWN);
      } else {
        forwarded.stats.ended(RequestOutcome.TIMED_OUT);
        forwarded.exchange.respond(HttpResponseStatus.GATEWAY_TIMEOUT, 0);
      }
      driver.feed(new RouterInput.ClientDisconnected(forwarded.id)); // cancels the attempts
      removeIfDone(forwarded);
    }
  }

  @Override
  public void requestArrived(ClientRequest request, ClientExchange exchange) {
    metrics.wakeUps.attribute(WakeUpCause.CLIENT);
    metrics.requests++;
    String clientAttemptId = request.attributes().attemptId();
    String attemptId = clientAttemptId.isEmpty() ? generateAttemptId() : clientAttemptId;
    var forwarded = new ForwardedRequest(nextId++, request, exchange, attemptId);
    requestsById.put(forwarded.id, forwarded);
    requestsByExchange.put(exchange, forwarded);
    driver.feed(new RouterInput.RequestArrived(forwarded.id, request.attributes()));
    removeIfDone(forwarded);
  }

  private String generateAttemptId() {
    String digits = Long.toHexString(random.nextLong());
    return "0".repeat(ATTEMPT_ID_DIGITS - digits.length()) + digits;
  }

  @Override
  public void clientGone(ClientExchange exchange) {
    ForwardedRequest forwarded = requestsByExchange.get(exchange);
    if (forwarded == null) {
      return;
    }
    metrics.wakeUps.attribute(WakeUpCause.CLIENT);
    metrics.clientsGone++;
    forwarded.stats.ended(RequestOutcome.CLIENT_GONE);
    driver.feed(new RouterInput.ClientDisconnected(forwarded.id));
    removeIfDone(forwarded);
  }

  @Override
  public void requestDropped(ClientRequest request, DropReason reason) {
    metrics.dropped++;
    String attemptId = HeaderText.decode(request.attributes().attemptId());
    LOG.infof("request dropped: reason=%s attempt_id=%s", reason, attemptId);
  }

  @Override
  public void clientWritable(ClientExchange exchange) {
    ForwardedRequest forwarded = requestsByExchange.get(exchange);
    if (forwarded != null) {
      forwarded.attempts.values().forEach(attempt -> attempt.setReading(true));
    }
  }

  private void removeIfDone(ForwardedRequest forwarded) {
    if (forwarded.isDone() && requestsById.remove(forwarded.id) != null) {
      requestsByExchange.remove(forwarded.exchange);
      requestLog.ended(forwarded);
    }
  }

  private void execute(RouterOutput output) {
    if (output instanceof RouterOutput.SendAttempt send) {
      send(send);
    } else if (output instanceof RouterOutput.Respond response) {
      respond(response);
    } else if (output instanceof RouterOutput.RelayError relay) {
      relayError(relay);
    } else if (output instanceof RouterOutput.AbortConnection abort) {
      abortResponse(abort.request(), abort.reason());
    } else if (output instanceof RouterOutput.CancelAttempt cancel) {
      cancel(cancel);
    } else if (output instanceof RouterOutput.Probe probe) {
      pools.probe(probe.backendId(), result -> probeEnded(probe.backendId(), result));
    }
  }

  private void probeEnded(String backendId, ProbeResult result) {
    driver.feed(new RouterInput.ProbeEnded(backendId, result.outcome(), result.load()));
  }

  private void send(RouterOutput.SendAttempt send) {
    ForwardedRequest forwarded = requestsById.get(send.request());
    if (forwarded == null) {
      throw new IllegalStateException(
          "router sent an attempt of a request that has ended: " + send);
    }
    var relay =
        new AttemptRelay(forwarded, send.attempt(), driver, metrics, () -> removeIfDone(forwarded));
    BackendAttempt attempt = pools.send(send.backendId(), outgoingRequest(forwarded, send), relay);
    forwarded.attempts.put(send.attempt(), attempt);
    forwarded.history.attemptStarted(send.backendId());
    forwarded.stats.attemptSent(System.nanoTime(), send.estimate());
  }

  private OutgoingRequest outgoingRequest(
      ForwardedRequest forwarded, RouterOutput.SendAttempt send) {
    ClientRequest request = forwarded.request;
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    headers.set(HeaderNames.ATTEMPT_ID, forwarded.attemptId);
    if (HeaderText.canCarry(send.backendId())) {
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
    ForwardedRequest forwarded = requestsById.get(response.request());
    if (forwarded == null) {
      return;
    }
    if (forwarded.exchange.isStarted()) {
      abortResponse(response.request(), AbortReason.NO_BACKEND);
      return;
    }
    metrics.localResponses++;
    forwarded.stats.ended(RequestOutcome.ofLocalResponse(response.status()));
    HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
    forwarded.exchange.respond(status, response.retryAfterMicros());
    removeIfDone(forwarded);
  }

  private void relayError(RouterOutput.RelayError relay) {
    ForwardedRequest forwarded = requestsById.get(relay.request());
    if (forwarded == null) {
      return;
    }
    if (forwarded.exchange.isStarted()) {
      abortResponse(relay.request(), AbortReason.ATTEMPTS_EXHAUSTED);
      return;
    }
    forwarded.stats.ended(RequestOutcome.FAILED);
    AttemptRelay.relay(forwarded, forwarded.failures.get(relay.attempt()));
    removeIfDone(forwarded);
  }

  private void abortResponse(long request, AbortReason reason) {
    ForwardedRequest forwarded = requestsById.get(request);
    if (forwarded == null) {
      return;
    }
    abortResponse(forwarded, reason);
    removeIfDone(forwarded);
  }

  /** Closes the client's connection although the response is incomplete, and logs the reason. */
  private void abortResponse(ForwardedRequest forwarded, AbortReason reason) {
    if (forwarded.exchange.isEnded()) {
      return;
    }
    metrics.brokenOff(reason);
    forwarded.stats.ended(RequestOutcome.BROKEN_OFF);
    LOG.infof(
        "response broken off: reason=%s attempt_id=%s held_ms=%d last_event=%d attempts=%s",
        reason,
        forwarded.decodedAttemptId(),
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - forwarded.stats.arrivedNanos()),
        forwarded.lastEventId,
        forwarded.history);
    forwarded.exchange.abort();
  }

  private void cancel(RouterOutput.CancelAttempt cancel) {
    ForwardedRequest forwarded = requestsById.get(cancel.request());
    BackendAttempt attempt = forwarded == null ? null : forwarded.attempts.get(cancel.attempt());
    if (attempt != null) {
      attempt.cancel();
    }
  }
}
