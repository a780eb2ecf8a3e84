package slateslip.routing;

import java.util.function.Consumer;
import slateslip.configuration.RoutingTable;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Detects attempts whose backends are silent for longer than expected, probes these backends and
 * moves the requests to other backends.
 */
final class OverdueAttempts {
  private final RoutingPolicy policy;
  private final Dispatcher dispatcher;
  private final WakeSchedule schedule;
  private final Consumer<RouterOutput> outputs;
  private final long overdueMicros;
  private final long streamSilenceMicros;

  OverdueAttempts(
      RoutingPolicy policy,
      Dispatcher dispatcher,
      WakeSchedule schedule,
      Consumer<RouterOutput> outputs) {
    this.policy = policy;
    this.dispatcher = dispatcher;
    this.schedule = schedule;
    this.outputs = outputs;
    this.overdueMicros = policy.micros(RoutingParameter.OVERDUE_MILLIS);
    this.streamSilenceMicros = policy.micros(RoutingParameter.STREAM_SILENCE_MILLIS);
  }

  /**
   * Checks the active attempts of a request. If an attempt is overdue, its backend is probed. If
   * that backend is already suspected to be down, the request moves to another backend where this
   * is permitted.
   */
  void check(long now, RoutingTable table, PendingRequest request) {
    for (int number = 0; number < request.attempts.size(); number++) {
      Attempt attempt = request.attempts.get(number);
      if (attempt.active() && isOverdue(now, attempt)) {
        handleOverdue(now, table, request, number);
      }
    }
  }

  private boolean isOverdue(long now, Attempt attempt) {
    BackendHealthMonitor healthMonitor = attempt.backend().healthMonitor();
    long lastActivityMicros = Math.max(attempt.sentMicros(), healthMonitor.lastActivityMicros());
    long timeoutMicros =
        attempt.started()
            ? streamSilenceMicros
            : overdueMicros
                + attempt.expectedFirstEventMicros()
                + healthMonitor.timeoutExtensionMicros(now);
    schedule.checkAt(lastActivityMicros + timeoutMicros);
    return now - lastActivityMicros >= timeoutMicros;
  }

  private void handleOverdue(long now, RoutingTable table, PendingRequest request, int number) {
    Attempt attempt = request.attempts.get(number);
    BackendHealthMonitor healthMonitor = attempt.backend().healthMonitor();
    if (!healthMonitor.suspected()) {
      if (policy.uses(Mechanism.OVERDUE_PROBES)) {
        healthMonitor.requestProbe();
      }
    } else if (request.started && request.resumable()) {
      sendSecondAttempt(now, table, request);
    } else if (chargeMoveElsewhere(now, request)) {
      attempt.cancelAsUnresponsive();
      outputs.accept(new RouterOutput.CancelAttempt(request.id, number));
    }
  }

  private boolean chargeMoveElsewhere(long now, PendingRequest request) {
    if (!request.repeatable() || !dispatcher.hasTrustedAlternative(now, request)) {
      return false;
    }
    request.reachedBackend = true;
    boolean charged = dispatcher.chargeRetry(now, request);
    request.retryCharged = charged;
    return charged;
  }

  /**
   * Sends a stream whose backend is silent to a second backend as well, if one is available. The
   * first attempt stays active: the attempt that makes progress first is kept. If the second
   * attempt fails, the first backend may still resume the stream. Silence alone never ends a
   * response.
   */
  void sendSecondAttempt(long now, RoutingTable table, PendingRequest request) {
    boolean takeoverEnabled = policy.uses(Mechanism.STREAM_TAKEOVER);
    if (takeoverEnabled
        && request.activeAttempts() == 1
        && dispatcher.hasTrustedAlternative(now, request)) {
      request.reachedBackend = true;
      dispatcher.send(now, table, request);
      schedule.checkAt(now);
    }
  }
}
