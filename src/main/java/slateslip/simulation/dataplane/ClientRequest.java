package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.configuration.RouteKind;
import slateslip.routing.RequestAttributes;
import slateslip.simulation.EventQueue;
import slateslip.simulation.dataplane.Violation.Rule;

/** A client's request with all its attempts; the client retries as the protocol allows. */
@SuppressWarnings("ReferenceEquality") // attempts are compared by identity
final class ClientRequest {
  private static final long MIN_IDLE_TIMEOUT_MICROS = 2_000_000;
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
  private static final long BACKOFF_MICROS = 100_000;

  /** The result of a request as seen by its client. */
  enum Outcome {
    IN_TIME,
    LATE,
    REFUSED,
    FAILED
  }

  private final DataPlaneWorld world;
  private final EventQueue loop;
  private final RequestClass requestClass;
  private final RequestDraw draw;
  private final long beganMicros;
  private final long deadlineMicros;
  private int retriesLeft;
  private ClientAttempt current;
  private DataPlaneHost host;
  private long lastEventId = -1;
  private long lastActivityMicros;
  private long firstMicros = -1;
  private long longestGapMicros;
  private boolean done;

  ClientRequest(DataPlaneWorld world, RequestClass requestClass, RequestDraw draw) {
    this.world = world;
    this.loop = world.loop();
    this.requestClass = requestClass;
    this.draw = draw;
    this.beganMicros = loop.nowMicros();
    this.deadlineMicros = beganMicros + requestClass.deadlineMillis() * 1_000;
    this.retriesLeft = requestClass.retries();
  }

  /**
   * The randomly drawn properties of a request.
   *
   * @param zone index of the client's zone
   * @param tenant index of the tenant
   * @param patient whether the client waits before a retry as long as the response tells it to
   */
  record RequestDraw(
      int zone,
      int tenant,
      List<RequestAttributes.PromptPart> prompt,
      int outputTokens,
      long totalEvents,
      long workMicros,
      boolean failsAtBackend,
      boolean patient) {}

  RequestClass requestClass() {
    return requestClass;
  }

  RequestDraw draw() {
    return draw;
  }

  void begin() {
    loop.at(deadlineMicros, this::deadlineReached);
    sendAttempt();
  }

  private void sendAttempt() {
    host = world.ingress().pick(draw.zone(), host);
    lastActivityMicros = loop.nowMicros();
    current = newAttempt();
    world.checker().sent(current);
    ClientAttempt sent = current;
    DataPlaneHost target = host;
    loop.after(world.plan().network().client(), () -> connect(target, sent));
    if (requestClass.kind() == RouteKind.STREAMING) {
      loop.after(idleTimeoutMicros(), () -> checkIdleTimeout(sent));
    }
  }

  private ClientAttempt newAttempt() {
    boolean engine = requestClass.kind() == RouteKind.STREAMING;
    long promptTokens =
        draw.prompt().stream().mapToLong(RequestAttributes.PromptPart::tokens).sum();
    RequestAttributes attributes =
        new RequestAttributes(
            world.nextAttemptId(),
            WorldPlans.HOST,
            WorldPlans.path(requestClass),
            WorldPlans.key(draw.tenant()),
            Math.max(1, (deadlineMicros - loop.nowMicros()) / 1_000),
            engine ? promptTokens : -1,
            engine ? draw.outputTokens() : -1,
            draw.prompt(),
            lastEventId,
            engine ? "m" : "",
            engine ? (int) promptTokens : 600);
    return new ClientAttempt(
        this,
        requestClass,
        WorldPlans.tenantName(draw.tenant()),
        draw.tenant(),
        attributes,
        draw.workMicros(),
        draw.failsAtBackend());
  }

  private void connect(DataPlaneHost target, ClientAttempt sent) {
    switch (target.condition()) {
      case UP, FROZEN -> target.accept(sent);
      case DOWN -> loop.after(world.plan().network().client(), () -> connectFailed(sent));
      case DARK -> loop.after(CONNECT_TIMEOUT_MICROS, () -> connectFailed(sent));
      default -> throw new IllegalStateException("unknown condition");
    }
  }

  private long idleTimeoutMicros() {
    return Math.max(
        MIN_IDLE_TIMEOUT_MICROS,
        1_000
            * Math.max(4 * requestClass.targetLatencyMillis(), 8 * requestClass.targetGapMillis()));
  }

  private void checkIdleTimeout(ClientAttempt attempt) {
    if (done || current != attempt) {
      return;
    }
    long due = lastActivityMicros + idleTimeoutMicros();
    if (loop.nowMicros() < due) {
      loop.at(due, () -> checkIdleTimeout(attempt));
      return;
    }
    closeConnection();
    retryOrEnd(requestClass.repeatable(), 0, Outcome.FAILED);
  }

  private void closeConnection() {
    ClientAttempt left = current;
    DataPlaneHost target = host;
    loop.after(world.plan().network().client(), () -> target.clientGone(left));
    current = null;
  }

  private void deadlineReached() {
    if (!done) {
      if (current != null) {
        closeConnection();
      }
      end(Outcome.FAILED);
    }
  }

  /** Handles a connection to a data plane that could not be established. */
  private void connectFailed(ClientAttempt attempt) {
    if (!done && current == attempt) {
      current = null;
      retryOrEnd(true, 0, Outcome.FAILED);
    }
  }

  /** Handles an event of the response stream. */
  void event(ClientAttempt attempt, long id, boolean last) {
    if (done || current != attempt) {
      return;
    }
    long expected = lastEventId < 0 ? 1 : lastEventId + 1;
    if (id != expected) {
      world
          .checker()
          .report(
              Rule.STREAM_ORDER,
              attempt.attemptId() + " received event " + id + " instead of " + expected);
    }
    if (last != (id == draw.totalEvents())) {
      world
          .checker()
          .report(
              Rule.STREAM_ORDER,
              attempt.attemptId() + " has a wrong end-of-stream flag at event " + id);
    }
    long now = loop.nowMicros();
    if (firstMicros < 0) {
      firstMicros = now;
    } else {
      longestGapMicros = Math.max(longestGapMicros, now - lastActivityMicros);
    }
    lastActivityMicros = now;
    lastEventId = id;
    if (last) {
      endServed();
    }
  }

  /** Handles a complete successful response. */
  void responseCompleted(ClientAttempt attempt) {
    if (!done && current == attempt) {
      firstMicros = loop.nowMicros();
      endServed();
    }
  }

  /** Handles a response with a failure status. */
  void failureReceived(ClientAttempt attempt, int status, long retryAfterMicros) {
    if (done || current != attempt) {
      return;
    }
    current = null;
    boolean guaranteedNotExecuted =
        status == 408 || status == 421 || status == 429 || status == 503;
    boolean mayRetry = guaranteedNotExecuted || (status >= 500 && requestClass.repeatable());
    retryOrEnd(
        mayRetry, retryAfterMicros, guaranteedNotExecuted ? Outcome.REFUSED : Outcome.FAILED);
  }

  /** Handles a connection that ended before the response was complete. */
  void connectionBroken(ClientAttempt attempt) {
    if (!done && current == attempt) {
      current = null;
      retryOrEnd(requestClass.repeatable(), 0, Outcome.FAILED);
    }
  }

  private void retryOrEnd(boolean mayRetry, long retryAfterMicros, Outcome otherwise) {
    if (!mayRetry || retriesLeft == 0) {
      end(otherwise);
      return;
    }
    retriesLeft--;
    long left = deadlineMicros - loop.nowMicros();
    long wait = retryAfterMicros > 0 ? Math.min(retryAfterMicros, left / 3) : BACKOFF_MICROS;
    loop.after(
        draw.patient() ? wait : 0,
        () -> {
          if (!done) {
            sendAttempt();
          }
        });
  }

  private void endServed() {
    boolean inTime =
        firstMicros - beganMicros <= requestClass.targetLatencyMillis() * 1_000
            && (requestClass.targetGapMillis() == 0
                || longestGapMicros <= requestClass.targetGapMillis() * 1_000);
    end(inTime ? Outcome.IN_TIME : Outcome.LATE);
  }

  private void end(Outcome outcome) {
    done = true;
    world
        .measurements()
        .ended(
            this,
            outcome,
            firstMicros < 0 ? -1 : firstMicros - beganMicros,
            longestGapMicros,
            beganMicros);
    world.digest(draw.tenant(), outcome.name().hashCode(), loop.nowMicros());
  }

  boolean done() {
    return done;
  }
}
