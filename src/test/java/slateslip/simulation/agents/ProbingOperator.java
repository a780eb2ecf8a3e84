package slateslip.simulation.agents;

import java.util.List;
import java.util.function.Supplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;

/** Reads the configuration and sends one change to one agent after another until it is accepted. */
final class ProbingOperator {
  private static final long CALL_TIMEOUT = 1_000_000;
  private static final long DELAY = 20_000;

  private final AgentWorld world;
  private final String marker;
  private final Supplier<List<ControlMachine>> called;
  private ConfigurationChange change;
  private int calls;
  private boolean done;
  private boolean stopped;

  ProbingOperator(AgentWorld world, String marker, Supplier<List<ControlMachine>> called) {
    this.world = world;
    this.called = called;
    this.marker = marker;
  }

  boolean isDone() {
    return done;
  }

  void stop() {
    stopped = true;
  }

  void start() {
    if (done || stopped) {
      return;
    }
    calls++;
    int current = calls;
    List<ControlMachine> machines = called.get();
    ControlMachine machine = machines.get(current % machines.size());
    if (change == null) {
      read(current, machine);
    } else {
      send(current, machine);
    }
    world.events().after(CALL_TIMEOUT, () -> scheduleNextCall(current));
  }

  private void scheduleNextCall(int current) {
    if (current == calls) {
      calls++;
      world.events().after(DELAY, this::start);
    }
  }

  private void read(int current, ControlMachine machine) {
    long newestAtCall = world.history().newestAcknowledged();
    OperatorRequest get = new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0]);
    world.call(
        machine,
        get,
        response -> {
          if (response.status() != OperatorResponse.UNAVAILABLE && change == null) {
            long version = world.history().read(newestAtCall, response);
            change = ConfigurationChange.complete(version, version + 1, marker + current);
          }
          scheduleNextCall(current);
        });
  }

  private void send(int current, ControlMachine machine) {
    ConfigurationChange sent = change;
    world.history().sent(sent);
    long newestAtCall = world.history().newestAcknowledged();
    world.call(
        machine,
        sent.call(),
        response -> {
          world.history().responded(world.events().nowMicros(), sent, newestAtCall, response);
          done |= response.status() == OperatorResponse.OK;
          if (response.status() != OperatorResponse.UNAVAILABLE && sent.equals(change)) {
            change = null; // accepted, or another change was applied since the read
          }
          scheduleNextCall(current);
        });
  }
}
