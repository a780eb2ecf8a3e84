package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.EventQueue;

/**
 * Reads the configuration, changes it, and sends a change without a clear answer again, unchanged,
 * to any agent; at times to several at once, and at times long after it was taken.
 */
final class SimulatedOperator {
  private static final long PATIENCE = 1_000_000;
  private static final long LONG_PAUSE = 250_000;
  private static final long SHORT_PAUSE = 20_000;
  private static final int ANSWER_LOST_EVERY = 6;
  private static final int SEVERAL_AT_ONCE_EVERY = 5;
  private static final int REPEATED_EVERY = 4;
  private static final int INVALID_EVERY = 9;

  private final AgentWorld world;
  private final EventQueue events;
  private final SplittableRandom random;
  private final FleetHistory history;
  private final String name;
  private final List<ConfigurationChange> takenOrders = new ArrayList<>();
  private ConfigurationChange order;
  private long knownVersion;
  private long call;
  private int orders;
  private boolean stopped;

  SimulatedOperator(
      AgentWorld world,
      EventQueue events,
      SplittableRandom random,
      FleetHistory history,
      String name) {
    this.world = world;
    this.events = events;
    this.random = random;
    this.history = history;
    this.name = name;
  }

  void start() {
    next();
  }

  void stop() {
    stopped = true;
  }

  private void next() {
    if (stopped) {
      return;
    }
    call++;
    long current = call;
    if (order == null) {
      read(current);
    } else {
      send(current);
    }
    events.in(PATIENCE, () -> goOn(current, SHORT_PAUSE));
  }

  /** The call is over, or given up; the next one follows after a pause. */
  private void goOn(long current, long longestPause) {
    if (current == call) {
      call++;
      events.in(random.nextLong(longestPause), this::next);
    }
  }

  private ControlMachine anyAgent() {
    List<ControlMachine> machines = world.controlMachines();
    return machines.get(random.nextInt(machines.size()));
  }

  private void read(long current) {
    long newestAtCall = history.newestAcknowledged();
    OperatorRequest get = new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0]);
    world.call(anyAgent(), get, answer -> readAnswer(current, newestAtCall, answer));
  }

  private void readAnswer(long current, long newestAtCall, OperatorResponse answer) {
    boolean clear = answer.status() != OperatorResponse.UNAVAILABLE;
    if (clear) {
      knownVersion = history.read(newestAtCall, answer);
    }
    if (current != call) {
      return;
    }
    if (clear) {
      order = newOrder();
    }
    goOn(current, clear ? LONG_PAUSE : SHORT_PAUSE);
  }

  private ConfigurationChange newOrder() {
    orders++;
    String marker = name + orders;
    long version = knownVersion + 1 + random.nextInt(2);
    if (random.nextInt(INVALID_EVERY) == 0) {
      return ConfigurationChange.invalid(knownVersion, version, marker);
    }
    return knownVersion > 0 && random.nextBoolean()
        ? ConfigurationChange.patch(knownVersion, version, marker)
        : ConfigurationChange.whole(knownVersion, version, marker);
  }

  private void send(long current) {
    int copies = random.nextInt(SEVERAL_AT_ONCE_EVERY) == 0 ? world.controlMachines().size() : 1;
    for (int copy = 0; copy < copies; copy++) {
      ConfigurationChange sent = order;
      sendOnce(sent, answer -> answered(current, sent, answer));
    }
  }

  private void sendOnce(ConfigurationChange sent, Consumer<OperatorResponse> then) {
    history.sent(sent);
    long newestAtCall = history.newestAcknowledged();
    world.call(
        anyAgent(),
        sent.call(),
        answer -> {
          boolean lost = random.nextInt(ANSWER_LOST_EVERY) == 0;
          if (!lost) {
            history.answered(events.now(), sent, newestAtCall, answer);
            if (answer.status() == OperatorResponse.OK) {
              world.rules().acknowledged(sent.version());
            }
            then.accept(answer);
          }
        });
  }

  private void answered(long current, ConfigurationChange sent, OperatorResponse answer) {
    if (current != call || !sent.equals(order)) {
      return;
    }
    boolean clear = answer.status() != OperatorResponse.UNAVAILABLE;
    if (answer.status() == OperatorResponse.OK) {
      knownVersion = sent.version();
      takenOrders.add(sent);
      order = random.nextInt(REPEATED_EVERY) == 0 ? null : newOrder();
      repeatOne();
    } else if (clear) {
      order = null;
    }
    goOn(current, clear ? LONG_PAUSE : SHORT_PAUSE);
  }

  /** Sends an order again that was taken before, as if its answer had been lost. */
  private void repeatOne() {
    if (random.nextInt(REPEATED_EVERY) == 0) {
      ConfigurationChange old = takenOrders.get(random.nextInt(takenOrders.size()));
      sendOnce(old, answer -> {});
    }
  }
}
