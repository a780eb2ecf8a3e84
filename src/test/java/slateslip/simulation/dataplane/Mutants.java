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

/**
 * Faulty routers, each with one fault that is made by altering the inputs, outputs or quota reports
 * of the real router.
 */
final class Mutants {
  private Mutants() {}

  /**
   * Returns routers that treat a connection that broke after sending as a rejection, so that they
   * retry the request.
   */
  static DataPlaneWorld.RouterFactory retriesAfterReset() {
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

  /**
   * Treats a request as not sent until its last byte is sent, which was the cause of the earlier
   * fault TWICE.
   */
  static final class TreatsPartlySentAsNotSent extends RequestTransmission {
    @Override
    public boolean mayHaveRun() {
      return isComplete() || hasResponse();
    }
  }

  /**
   * Returns routers that resume a stream one event too late, so that the client misses an event.
   */
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

  /**
   * Returns routers that restart a broken stream from the first event instead of resuming the
   * stream.
   */
  static DataPlaneWorld.RouterFactory restartsBrokenStreams() {
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

  /** Returns routers that continue to send requests to draining backends. */
  static DataPlaneWorld.RouterFactory ignoresDraining() {
    return withInputs(
        input ->
            input instanceof RouterInput.BackendsChanged changed
                ? new RouterInput.BackendsChanged(
                    changed.backends().stream().map(Mutants::withoutDraining).toList())
                : input);
  }

  /** Returns routers whose quota reports state that no units were spent. */
  static DataPlaneWorld.RouterFactory reportsNoSpending() {
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
                demand ->
                    new TenantDemand(
                        demand.tenant(),
                        demand.wantedUnits(),
                        demand.admittedUnits(),
                        demand.allowed(),
                        Spending.NONE,
                        demand.needed() - demand.spent(),
                        demand.desired() - demand.spent()))
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

  /** Returns routers that use the complete quotas of the fleet instead of their shares. */
  static DataPlaneWorld.RouterFactory usesFullQuotas() {
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

  /** Returns routers that use the complete retry budget of the fleet instead of their shares. */
  static DataPlaneWorld.RouterFactory usesFullRetryBudget() {
    return withInputs(
        input ->
            input instanceof RouterInput.QuotaAllocationChanged notified
                ? new RouterInput.QuotaAllocationChanged(
                    new QuotaAllocation(
                        1, notified.allocation().lease(), notified.allocation().tenants()))
                : input);
  }

  /** Returns routers that send each response that they generate twice. */
  static DataPlaneWorld.RouterFactory respondsTwice() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Respond ? Stream.of(output, output) : Stream.of(output));
  }

  /**
   * Returns routers that respond with 503 instead of 502, and so guarantee that the request was not
   * executed although a backend may have executed the request.
   */
  static DataPlaneWorld.RouterFactory guaranteesNonExecutionWrongly() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Respond response && response.status() == 502
                ? Stream.of(new RouterOutput.Respond(response.request(), 503, 0))
                : Stream.of(output));
  }

  /**
   * Returns routers that neither respond with 504 nor abort the connection when a request times
   * out.
   */
  static DataPlaneWorld.RouterFactory omitsTimeoutResponse() {
    return withOutputs(
        output -> {
          boolean timedOut =
              output instanceof RouterOutput.Respond response && response.status() == 504;
          boolean broken = output instanceof RouterOutput.AbortConnection;
          return timedOut || broken ? Stream.empty() : Stream.of(output);
        });
  }

  private static BackendSession withoutDraining(BackendSession session) {
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
