package slateslip.simulation.dataplane;

import java.util.HashMap;
import java.util.Map;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterOutput;
import slateslip.simulation.EventQueue;
import slateslip.simulation.engine.EngineInput;
import slateslip.simulation.engine.EngineModel;
import slateslip.simulation.engine.EngineOutput;
import slateslip.simulation.engine.EngineParameters;
import slateslip.simulation.engine.EngineRequest;

/** A simulated backend that executes requests on an {@link EngineModel}. */
final class EngineBackend extends SimulatedBackend {
  private final EngineParameters parameters;
  private final Measurements measurements;
  private final Map<Long, BackendCall> calls = new HashMap<>();
  private final Map<Long, Boolean> streamed = new HashMap<>();
  private EngineModel engine;
  private long nextId;
  private long wakeNumber;

  EngineBackend(
      EventQueue loop,
      SimulatedNetwork network,
      RuleChecker checker,
      Measurements measurements,
      WorldPlan.BackendGroup group,
      int index,
      int zone) {
    super(loop, network, checker, group.service(), index, zone, group.engine().slots());
    this.parameters = group.engine();
    this.measurements = measurements;
    this.engine = new EngineModel(parameters);
  }

  @Override
  void accept(BackendCall call) {
    long id = nextId++;
    calls.put(id, call);
    int priority =
        call.priority() == RouterOutput.NO_PRIORITY
            ? EngineRequest.DEFAULT_PRIORITY
            : call.priority();
    feed(
        new EngineInput.Submit(
            new EngineRequest(
                id,
                call.content().attributes().prompt(),
                (int) call.content().attributes().outputTokens(),
                priority,
                call.resumeAfter(),
                call.deadlineMicros())));
  }

  @Override
  void abandon(BackendCall call) {
    calls.entrySet().stream()
        .filter(entry -> entry.getValue() == call)
        .map(Map.Entry::getKey)
        .findFirst()
        .ifPresent(
            id -> {
              calls.remove(id);
              feed(new EngineInput.Cancel(id));
            });
  }

  @Override
  void reset() {
    calls.clear();
    streamed.clear();
    engine = new EngineModel(parameters);
    wakeNumber++;
  }

  @Override
  BackendLoad load() {
    return new BackendLoad(engine.runningCount(), engine.waitingCount(), parameters.slots());
  }

  @Override
  boolean full() {
    return engine.waitingCount() >= parameters.queueLimit();
  }

  private void feed(EngineInput input) {
    long number = ++wakeNumber;
    for (EngineOutput output : engine.handle(loop.nowMicros(), input)) {
      if (output instanceof EngineOutput.WakeAt wake) {
        loop.at(
            wake.atMicros(),
            () -> {
              if (number == wakeNumber) {
                feed(new EngineInput.Wake());
              }
            });
      } else {
        handle(output);
      }
    }
  }

  private void handle(EngineOutput output) {
    if (output instanceof EngineOutput.Started started) {
      checker.executionStarted(calls.get(started.request()), this);
    } else if (output instanceof EngineOutput.Event event) {
      BackendCall call = calls.get(event.request());
      streamed.put(event.request(), true);
      if (event.last()) {
        remove(event.request());
      }
      event(call, event.eventId(), event.last());
    } else if (output instanceof EngineOutput.Admitted admitted) {
      BackendCall call = calls.get(admitted.request());
      measurements.admitted(
          call.content(), id(), loop.nowMicros(), admitted.cachedTokens(), admitted.readTokens());
    } else if (output instanceof EngineOutput.Rejected rejected) {
      finish(remove(rejected.request()), new BackendReply.NotExecuted());
    } else if (output instanceof EngineOutput.DeadlineExceeded exceeded) {
      boolean started = streamed.containsKey(exceeded.request());
      BackendReply reply = started ? new BackendReply.Reset() : new BackendReply.Failure(504);
      finish(remove(exceeded.request()), reply);
    }
  }

  private BackendCall remove(long id) {
    streamed.remove(id);
    return calls.remove(id);
  }
}
