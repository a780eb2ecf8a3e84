package slateslip.simulation.dataplane;

import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;
import slateslip.routing.FleetRouter;
import slateslip.routing.RequestRouter;
import slateslip.routing.RequestTransmission;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.RouterOutput;

/** Routers with one fault each, made by changing what the real one is told or what it asks for. */
final class Mutants {
  private Mutants() {}

  /**
   * Takes a connection that broke after sending for a rejection, so that the request is repeated.
   */
  static DataPlaneWorld.RouterFactory repeatsAfterReset() {
    return withInputs(
        input ->
            input instanceof RouterInput.AttemptEnded ended && ended.outcome().kind() == Kind.BROKEN
                ? new RouterInput.AttemptEnded(
                    ended.request(),
                    ended.attempt(),
                    new AttemptOutcome(Kind.NOT_EXECUTED, 503),
                    ended.load(),
                    ended.lastEventId())
                : input);
  }

  /** Takes a request for not sent until its last byte has left, as once was done (TWICE). */
  static final class NotSentBeforeTheLastByte extends RequestTransmission {
    @Override
    public boolean mayHaveRun() {
      return isComplete() || hasResponse();
    }
  }

  /** Resumes a stream one event too far on. */
  static DataPlaneWorld.RouterFactory resumesFromTheWrongEvent() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.SendAttempt send && send.resumeAfter() >= 0
                ? Stream.of(
                    new RouterOutput.SendAttempt(
                        send.request(),
                        send.attempt(),
                        send.backendId(),
                        send.deadlineMillis(),
                        send.firstEventTimeoutMicros(),
                        send.idleTimeoutMicros(),
                        send.priority(),
                        send.tenant(),
                        send.resumeAfter() + 1))
                : Stream.of(output));
  }

  /** Starts a broken stream anew instead of resuming it. */
  static DataPlaneWorld.RouterFactory startsBrokenStreamsAnew() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.SendAttempt send && send.resumeAfter() >= 0
                ? Stream.of(
                    new RouterOutput.SendAttempt(
                        send.request(),
                        send.attempt(),
                        send.backendId(),
                        send.deadlineMillis(),
                        send.firstEventTimeoutMicros(),
                        send.idleTimeoutMicros(),
                        send.priority(),
                        send.tenant(),
                        0))
                : Stream.of(output));
  }

  /** Goes on sending to backends that drain. */
  static DataPlaneWorld.RouterFactory ignoresDraining() {
    return withInputs(
        input ->
            input instanceof RouterInput.BackendsChanged changed
                ? new RouterInput.BackendsChanged(
                    changed.backends().stream().map(Mutants::ready).toList())
                : input);
  }

  /** Says that it has spent nothing of any quota. */
  static DataPlaneWorld.RouterFactory hidesItsSpending() {
    return settings -> {
      RequestRouter router = new FleetRouter(settings);
      return new RequestRouter() {
        @Override
        public List<RouterOutput> handle(long nowMicros, RouterInput input) {
          return router.handle(nowMicros, input);
        }

        @Override
        public QuotaReport quotaReport(long nowMicros) {
          return withoutSpending(router.quotaReport(nowMicros));
        }
      };
    };
  }

  private static QuotaReport withoutSpending(QuotaReport report) {
    List<TenantDemand> tenants =
        report.tenants().stream()
            .map(
                told ->
                    new TenantDemand(
                        told.tenant(),
                        told.wantedUnits(),
                        told.admittedUnits(),
                        told.allowed(),
                        Spending.NONE,
                        told.needed() - told.spent(),
                        told.desired() - told.spent()))
            .toList();
    return new QuotaReport(
        report.epoch(),
        report.appliedNumber(),
        report.sentMicros(),
        report.ageMicros(),
        report.holders(),
        report.waiting(),
        tenants);
  }

  /** Takes the quotas of the whole fleet for its own. */
  static DataPlaneWorld.RouterFactory takesFullQuotas() {
    return withInputs(
        input ->
            input instanceof RouterInput.QuotaAllocationChanged notified
                ? new RouterInput.QuotaAllocationChanged(
                    new QuotaAllocation(
                        notified.allocation().dataPlanes(),
                        notified.allocation().lease(),
                        notified.allocation().tenants().stream()
                            .map(share -> new QuotaAllocation.TenantShare(share.tenant(), 1))
                            .toList()))
                : input);
  }

  /** Takes the retry budget of the whole fleet for its own. */
  static DataPlaneWorld.RouterFactory takesFullRetryBudget() {
    return withInputs(
        input ->
            input instanceof RouterInput.QuotaAllocationChanged notified
                ? new RouterInput.QuotaAllocationChanged(
                    new QuotaAllocation(
                        1, notified.allocation().lease(), notified.allocation().tenants()))
                : input);
  }

  /** Gives each of its own answers twice. */
  static DataPlaneWorld.RouterFactory respondsTwice() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Respond ? Stream.of(output, output) : Stream.of(output));
  }

  /** Refuses with a promise whatever it would have failed without one. */
  static DataPlaneWorld.RouterFactory promisesWhatMayHaveRun() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Respond response && response.status() == 502
                ? Stream.of(new RouterOutput.Respond(response.request(), 503, 0))
                : Stream.of(output));
  }

  /** Says nothing when a request's time is over. */
  static DataPlaneWorld.RouterFactory idleAtTimeout() {
    return withOutputs(
        output -> {
          boolean timedOut =
              output instanceof RouterOutput.Respond response && response.status() == 504;
          boolean broken = output instanceof RouterOutput.AbortConnection;
          return timedOut || broken ? Stream.empty() : Stream.of(output);
        });
  }

  private static BackendSession ready(BackendSession session) {
    return new BackendSession(
        session.id(),
        session.service(),
        session.address(),
        session.zone(),
        session.version(),
        session.slots(),
        false,
        session.remainingWarmupMillis(),
        session.sequence());
  }

  private static DataPlaneWorld.RouterFactory withInputs(UnaryOperator<RouterInput> change) {
    return settings -> changed(new FleetRouter(settings), change, Stream::of);
  }

  private static DataPlaneWorld.RouterFactory withOutputs(
      Function<RouterOutput, Stream<RouterOutput>> change) {
    return settings -> changed(new FleetRouter(settings), UnaryOperator.identity(), change);
  }

  private static RequestRouter changed(
      RequestRouter router,
      UnaryOperator<RouterInput> changeInput,
      Function<RouterOutput, Stream<RouterOutput>> changeOutput) {
    return new RequestRouter() {
      @Override
      public List<RouterOutput> handle(long nowMicros, RouterInput input) {
        return router.handle(nowMicros, changeInput.apply(input)).stream()
            .flatMap(changeOutput)
            .toList();
      }

      @Override
      public QuotaReport quotaReport(long nowMicros) {
        return router.quotaReport(nowMicros);
      }
    };
  }
}
