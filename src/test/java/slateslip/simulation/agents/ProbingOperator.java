package slateslip.simulation.agents;

import java.util.List;
import java.util.function.Supplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;

/** Reads the configuration and has one change taken, at one agent after the other. */
final class ProbingOperator {
  private static final long PATIENCE = 1_000_000;
  private static final long PAUSE = 20_000;

  private final AgentWorld world;
  private final String marker;
  private final Supplier<List<ControlMachine>> called;
  private ConfigurationChange order;
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
    if (order == null) {
      read(current, machine);
    } else {
      send(current, machine);
    }
    world.events().in(PATIENCE, () -> goOn(current));
  }

  private void goOn(int current) {
    if (current == calls) {
      calls++;
      world.events().in(PAUSE, this::start);
    }
  }

  private void read(int current, ControlMachine machine) {
    long newestAtCall = world.history().newestAcknowledged();
    OperatorRequest get = new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0]);
    world.call(
        machine,
        get,
        answer -> {
          if (answer.status() != OperatorResponse.UNAVAILABLE && order == null) {
            long version = world.history().read(newestAtCall, answer);
            order = ConfigurationChange.whole(version, version + 1, marker + current);
          }
          goOn(current);
        });
  }

  private void send(int current, ControlMachine machine) {
    ConfigurationChange sent = order;
    world.history().sent(sent);
    long newestAtCall = world.history().newestAcknowledged();
    world.call(
        machine,
        sent.call(),
        answer -> {
          world.history().answered(world.events().now(), sent, newestAtCall, answer);
          done |= answer.status() == OperatorResponse.OK;
          if (answer.status() != OperatorResponse.UNAVAILABLE && sent.equals(order)) {
            order = null; // taken, or an earlier change has come into force since the read
          }
          goOn(current);
        });
  }
}
