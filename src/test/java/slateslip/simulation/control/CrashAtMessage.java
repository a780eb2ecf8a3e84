package slateslip.simulation.control;

import slateslip.coordination.NodeAddress;
import slateslip.simulation.RuleViolation;

/**
 * One crash in a run without chance: three nodes, two changes.
 *
 * @param number of the message at which it strikes, counted from the first change on
 * @param atSender whether the sender crashes, else the receiver
 * @param power whether power is lost, else the process is killed
 * @param messageLost whether that message is lost
 * @param downMicros how long the node stays down
 * @param primaryFirst whether the primary was killed before the first change
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
  private static final long FIRST_CHANGE = 600_000;
  private static final long PRIMARY_DOWN = 2_000_000;
  private static final long TIMEOUT = 8_000_000;
  private static final int CHANGES = 2;

  /** Plays it; whether there was such a message. */
  boolean play(Mutation mutation) {
    ControlWorld world = new ControlWorld(SHAPE, SEED, mutation);
    world.begin(0);
    world.runUntil(FIRST_CHANGE);
    int[] seen = {0};
    world.observer(
        (from, to, message) -> {
          seen[0]++;
          return seen[0] == number && strike(world, atSender ? from.address() : to);
        });
    if (primaryFirst) {
      crash(world, serving(world), false, PRIMARY_DOWN);
    }
    ScriptedClient client = new ScriptedClient(world, CHANGES);
    client.start();
    while (!client.done() && world.events().nowMicros() < TIMEOUT) {
      world.runUntil(world.events().nowMicros() + 10_000);
    }
    if (!client.done()) {
      throw new RuleViolation("changes not taken in time");
    }
    boolean struck = seen[0] >= number;
    world.heal(0);
    if (world.timeToTakeChange(TIMEOUT) < 0) {
      throw new RuleViolation("no change taken at the end");
    }
    world.checkEnd();
    return struck;
  }

  private static SimulatedNode serving(ControlWorld world) {
    return world.nodes().stream()
        .filter(node -> node.role().serving())
        .findFirst()
        .orElseThrow(() -> new RuleViolation("nobody serves at first"));
  }

  private boolean strike(ControlWorld world, NodeAddress address) {
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
