package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.configuration.RouteKind;
import slateslip.routing.RequestAttributes;
import slateslip.simulation.EventQueue;
import slateslip.simulation.dataplane.Violation.Rule;

/** A client's request over all of its tries; it retries as the protocol allows. */
@SuppressWarnings("ReferenceEquality") // each attempt is an object of its own
final class ClientRequest {
  private static final long MIN_IDLE_TIMEOUT_MICROS = 2_000_000;
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
  private static final long BACKOFF_MICROS = 100_000;

  /** How a request ended for its client. */
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
  private long heardMicros;
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
   * What was drawn for a request.
   *
   * @param zone of the client
   * @param tenant index of the tenant
   * @param patient whether the client waits as it is told
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
    loop.at(deadlineMicros, this::deadline);
    sendTry();
  }

  private void sendTry() {
    host = world.ingress().pick(draw.zone(), host);
    heardMicros = loop.nowMicros();
    current = newTry();
    world.checker().sent(current);
    ClientAttempt sent = current;
    DataPlaneHost target = host;
    loop.after(world.plan().network().client(), () -> connect(target, sent));
    if (requestClass.kind() == RouteKind.STREAMING) {
      loop.after(idleTimeoutMicros(), () -> checkIdleTimeout(sent));
    }
  }

  private ClientAttempt newTry() {
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
      case DOWN -> loop.after(world.plan().network().client(), () -> unread(sent));
      case DARK -> loop.after(CONNECT_TIMEOUT_MICROS, () -> unread(sent));
      default -> throw new IllegalStateException("unknown condition");
    }
  }

  private long idleTimeoutMicros() {
    return Math.max(
        MIN_IDLE_TIMEOUT_MICROS,
        1_000
            * Math.max(4 * requestClass.targetLatencyMillis(), 8 * requestClass.targetGapMillis()));
  }

  private void checkIdleTimeout(ClientAttempt of) {
    if (done || current != of) {
      return;
    }
    long due = heardMicros + idleTimeoutMicros();
    if (loop.nowMicros() < due) {
      loop.at(due, () -> checkIdleTimeout(of));
      return;
    }
    leave();
    retryOrEnd(requestClass.repeatable(), 0, Outcome.FAILED);
  }

  private void leave() {
    ClientAttempt left = current;
    DataPlaneHost target = host;
    loop.after(world.plan().network().client(), () -> target.clientGone(left));
    current = null;
  }

  private void deadline() {
    if (!done) {
      if (current != null) {
        leave();
      }
      end(Outcome.FAILED);
    }
  }

  /** The connection never came up. */
  private void unread(ClientAttempt of) {
    if (!done && current == of) {
      current = null;
      retryOrEnd(true, 0, Outcome.FAILED);
    }
  }

  /** An event has come. */
  void event(ClientAttempt of, long id, boolean last) {
    if (done || current != of) {
      return;
    }
    long expected = lastEventId < 0 ? 1 : lastEventId + 1;
    if (id != expected) {
      world.checker().broken(Rule.STREAM_ORDER, of.attemptId() + " had " + id + " for " + expected);
    }
    if (last != (id == draw.totalEvents())) {
      world.checker().broken(Rule.STREAM_ORDER, of.attemptId() + " ends at " + id);
    }
    long now = loop.nowMicros();
    if (firstMicros < 0) {
      firstMicros = now;
    } else {
      longestGapMicros = Math.max(longestGapMicros, now - heardMicros);
    }
    heardMicros = now;
    lastEventId = id;
    if (last) {
      endServed();
    }
  }

  /** A whole answer with success has come. */
  void whole(ClientAttempt of) {
    if (!done && current == of) {
      firstMicros = loop.nowMicros();
      endServed();
    }
  }

  /** A failure has come. */
  void answered(ClientAttempt of, int status, long retryAfterMicros) {
    if (done || current != of) {
      return;
    }
    current = null;
    boolean promise = status == 408 || status == 421 || status == 429 || status == 503;
    boolean mayRetry = promise || (status >= 500 && requestClass.repeatable());
    retryOrEnd(mayRetry, retryAfterMicros, promise ? Outcome.REFUSED : Outcome.FAILED);
  }

  /** The connection has ended before the response was whole. */
  void broken(ClientAttempt of) {
    if (!done && current == of) {
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
            sendTry();
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
