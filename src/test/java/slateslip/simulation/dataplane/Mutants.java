package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import slateslip.distribution.AgentShares;
import slateslip.distribution.BackendSession;
import slateslip.routing.FleetRouter;
import slateslip.routing.RequestRouter;
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

  /** Keeps the share of quotas and budget that it had before another data plane joined. */
  static DataPlaneWorld.RouterFactory keepsItsLargerShare() {
    return (zone, seed) -> {
      RequestRouter router = new FleetRouter(zone, seed);
      AgentShares[] kept = new AgentShares[1];
      return (now, input) -> {
        if (input instanceof RouterInput.SharesChanged changed) {
          if (kept[0] != null && kept[0].agents() < changed.shares().agents()) {
            return List.of();
          }
          kept[0] = changed.shares();
        }
        return router.handle(now, input);
      };
    };
  }

  /** Takes the limits of the whole fleet for its own. */
  static DataPlaneWorld.RouterFactory takesTheWholeBudget() {
    return withInputs(
        input ->
            input instanceof RouterInput.SharesChanged
                ? new RouterInput.SharesChanged(new AgentShares(1, List.of()))
                : input);
  }

  /** Gives each of its own answers twice. */
  static DataPlaneWorld.RouterFactory answersTwice() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Answer ? Stream.of(output, output) : Stream.of(output));
  }

  /** Refuses with a promise whatever it would have failed without one. */
  static DataPlaneWorld.RouterFactory promisesWhatMayHaveRun() {
    return withOutputs(
        output ->
            output instanceof RouterOutput.Answer answer && answer.status() == 502
                ? Stream.of(new RouterOutput.Answer(answer.request(), 503, 0))
                : Stream.of(output));
  }

  /** Never asks to be woken. */
  static DataPlaneWorld.RouterFactory forgetsItsTimeouts() {
    return withOutputs(
        output -> output instanceof RouterOutput.WakeAt ? Stream.empty() : Stream.of(output));
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
        session.coldLeftMillis(),
        session.sequence());
  }

  private static DataPlaneWorld.RouterFactory withInputs(UnaryOperator<RouterInput> change) {
    return (zone, seed) -> {
      RequestRouter router = new FleetRouter(zone, seed);
      return (now, input) -> router.handle(now, change.apply(input));
    };
  }

  private static DataPlaneWorld.RouterFactory withOutputs(
      Function<RouterOutput, Stream<RouterOutput>> change) {
    return (zone, seed) -> {
      RequestRouter router = new FleetRouter(zone, seed);
      return (now, input) ->
          new ArrayList<>(router.handle(now, input).stream().flatMap(change).toList());
    };
  }
}
