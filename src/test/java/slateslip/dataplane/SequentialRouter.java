package slateslip.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaReport;
import slateslip.routing.AbortReason;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterOutput;

/**
 * A router that sends the attempts of a request one after the other to the backends in the order of
 * their list.
 */
final class SequentialRouter implements RequestRouter {
  /** All inputs in their order. */
  final List<RouterInput> inputs = new ArrayList<>();

  /** Maximum number of attempts of one request. */
  int maxAttempts = 3;

  /** Whether failed attempts are retried and broken streams are resumed. */
  boolean retriesBrokenAttempts = true;

  long firstEventTimeoutMicros;
  long idleTimeoutMicros;
  String tenant;
  int priority = RouterOutput.NO_PRIORITY;

  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<Long, RequestState> requests = new HashMap<>();
  private List<BackendSession> backends = List.of();

  private static final class RequestState {
    long deadlineMillis;
    boolean started;
  }

  @Override
  public synchronized List<RouterOutput> handle(long nowMicros, RouterInput input) {
    inputs.add(input);
    if (input instanceof RouterInput.BackendsChanged changed) {
      backends = changed.backends();
    } else if (input instanceof RouterInput.RequestArrived arrived) {
      RequestState state = new RequestState();
      state.deadlineMillis = arrived.attributes().deadlineMillis();
      requests.put(arrived.request(), state);
      return sendNextAttempt(arrived.request(), RouterOutput.AS_SENT);
    } else if (input instanceof RouterInput.AttemptStarted started) {
      requests.get(started.request()).started = true;
      return cancelOthers(started);
    } else if (input instanceof RouterInput.StreamIdle idle) {
      boolean backendLeft = attempts.get(idle.request()) < Math.min(maxAttempts, backends.size());
      return backendLeft
          ? sendNextAttempt(idle.request(), RouterOutput.AFTER_LAST_EVENT)
          : List.of();
    } else if (input instanceof RouterInput.ClientDisconnected gone) {
      return List.of(
          new RouterOutput.CancelAttempt(gone.request(), attempts.get(gone.request()) - 1));
    } else if (input instanceof RouterInput.AttemptEnded ended) {
      return ended(ended);
    }
    return List.of();
  }

  private List<RouterOutput> cancelOthers(RouterInput.AttemptStarted started) {
    List<RouterOutput> cancelled = new ArrayList<>();
    for (int attempt = 0; attempt < attempts.get(started.request()); attempt++) {
      if (attempt != started.attempt()) {
        cancelled.add(new RouterOutput.CancelAttempt(started.request(), attempt));
      }
    }
    return cancelled;
  }

  private List<RouterOutput> ended(RouterInput.AttemptEnded ended) {
    AttemptOutcome outcome = ended.outcome();
    return switch (outcome.kind()) {
      case SUCCESS, CANCELLED -> List.of();
      case ERROR_RESPONSE -> List.of(new RouterOutput.RelayError(ended.request(), ended.attempt()));
      case NOT_EXECUTED, OTHER_INSTANCE, NOT_SENT, WITHHELD ->
          sendNextAttempt(ended.request(), RouterOutput.AS_SENT);
      case BROKEN, TIMEOUT ->
          retriesBrokenAttempts
              ? sendNextAttempt(ended.request(), ended.lastEventId())
              : failRequest(ended.request());
    };
  }

  private List<RouterOutput> sendNextAttempt(long request, long resumeAfter) {
    int attempt = attempts.merge(request, 1, Integer::sum) - 1;
    if (attempt >= Math.min(maxAttempts, backends.size())) {
      return failRequest(request);
    }
    return List.of(
        new RouterOutput.SendAttempt(
            request,
            attempt,
            backends.get(attempt).id(),
            requests.get(request).deadlineMillis,
            firstEventTimeoutMicros,
            idleTimeoutMicros,
            priority,
            tenant,
            resumeAfter));
  }

  private List<RouterOutput> failRequest(long request) {
    return requests.get(request).started
        ? List.of(new RouterOutput.AbortConnection(request, AbortReason.NO_BACKEND))
        : List.of(new RouterOutput.Respond(request, 502, 0));
  }

  @Override
  public QuotaReport quotaReport(long nowMicros) {
    return QuotaReport.EMPTY;
  }

  /** Returns the outcomes of all ended attempts in their order. */
  synchronized List<AttemptOutcome.Kind> outcomes() {
    return inputs.stream()
        .filter(RouterInput.AttemptEnded.class::isInstance)
        .map(input -> ((RouterInput.AttemptEnded) input).outcome().kind())
        .toList();
  }

  /** Returns whether an input of this type has been received. */
  synchronized boolean hasReceived(Class<? extends RouterInput> kind) {
    return inputs.stream().anyMatch(kind::isInstance);
  }
}
