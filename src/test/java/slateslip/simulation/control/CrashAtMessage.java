package slateslip.simulation.control;

import slateslip.coordination.NodeAddress;
import slateslip.simulation.RuleViolation;

/**
 * A run with a fixed seed in which three nodes commit two changes and one node crashes at a given
 * message.
 *
 * @param number the number of the message at which the crash occurs, counted from the time of the
 *     first change
 * @param atSender whether the sender of the message crashes; otherwise the receiver crashes
 * @param power whether the node loses power; otherwise its process is killed
 * @param messageLost whether the message is lost
 * @param downMicros the time in microseconds for which the node stays down
 * @param primaryFirst whether the primary is killed before the first change
 */
record CrashAtMessage(
    int number,
    boolean atSender,
    boolean power,
    boolean messageLost,
    long downMicros,
    boolean primaryFirst) {
  private static final WorldShape SHAPE = new WorldShape(3, 3, 1);
  private static final long SEED = 42;
  private static final long FIRST_CHANGE_MICROS = 600_000;
  private static final long PRIMARY_DOWN_MICROS = 2_000_000;
  private static final long TIMEOUT_MICROS = 8_000_000;
  private static final int CHANGES = 2;

  /**
   * Runs the simulation and returns whether the run contained a message with the given number.
   *
   * @throws RuleViolation if the run violates an invariant or a change is not accepted in time
   */
  boolean run(Mutation mutation) {
    ControlWorld world = new ControlWorld(SHAPE, SEED, mutation);
    world.begin(0);
    world.runUntil(FIRST_CHANGE_MICROS);
    int[] observedMessages = {0};
    world.setObserver(
        (from, to, message) -> {
          observedMessages[0]++;
          return observedMessages[0] == number
              && crashNodeAt(world, atSender ? from.address() : to);
        });
    if (primaryFirst) {
      crash(world, serving(world), false, PRIMARY_DOWN_MICROS);
    }
    ScriptedClient client = new ScriptedClient(world, CHANGES);
    client.start();
    while (!client.done() && world.events().nowMicros() < TIMEOUT_MICROS) {
      world.runUntil(world.events().nowMicros() + 10_000);
    }
    if (!client.done()) {
      throw new RuleViolation("the changes were not accepted in time");
    }
    boolean messageReached = observedMessages[0] >= number;
    world.heal(0);
    if (world.timeToAcceptChange(TIMEOUT_MICROS) < 0) {
      throw new RuleViolation("no change was accepted at the end");
    }
    world.checkEnd();
    return messageReached;
  }

  private static SimulatedNode serving(ControlWorld world) {
    return world.nodes().stream()
        .filter(node -> node.role().serving())
        .findFirst()
        .orElseThrow(() -> new RuleViolation("no primary serves clients before the first change"));
  }

  private boolean crashNodeAt(ControlWorld world, NodeAddress address) {
    world.nodes().stream()
        .filter(node -> node.address().equals(address))
        .findFirst()
        .ifPresent(node -> crash(world, node, power, downMicros));
    return messageLost;
  }

  private static void crash(
      ControlWorld world, SimulatedNode node, boolean power, long downMicros) {
    if (power) {
      node.losePower();
    } else {
      node.kill();
    }
    world.events().after(downMicros, () -> world.restart(node));
  }
}
