package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.ReplicaMessage;

/** Starts the faults of a schedule and ends each fault after its duration. */
final class FaultInjector {
  private static final long MIN_DOWNTIME_MICROS = 50_000;
  private static final long RESTART_SPREAD_MICROS = 1_000_000;
  private static final long SLOW_LINK_DELAY_MICROS = 60_000;
  private static final long SLOW_DISK_FACTOR = 40;
  private static final long MAX_KILL_DELAY_MICROS = 30_000;

  private final ControlWorld world;
  private final SplittableRandom random;
  private boolean stopped;
  private Fault faultAfterAcknowledgement;
  private final ArmedCrashes armedCrashes;

  FaultInjector(ControlWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
    armedCrashes = new ArmedCrashes(random.split());
  }

  /** Stops the injection of further faults. */
  void stop() {
    stopped = true;
  }

  void inject(Fault fault) {
    if (stopped || world.nodes().isEmpty()) {
      return;
    }
    SimulatedNode node = target(fault);
    switch (fault.kind()) {
      case KILL, KILL_PRIMARY -> kill(node, fault.durationMicros());
      case LOSE_POWER, LOSE_POWER_PRIMARY -> losePower(node, fault.durationMicros());
      case WIPE, WIPE_PRIMARY -> wipe(node, fault.durationMicros());
      case REPLACE -> replace(node, fault.durationMicros());
      case FREEZE, FREEZE_PRIMARY -> freeze(node, fault.durationMicros());
      case RESET -> world.network().resetAll(node.address(), others(node));
      case KILL_ALL -> List.copyOf(world.nodes()).forEach(this::killForRandomTime);
      case LOSE_POWER_ALL -> List.copyOf(world.nodes()).forEach(this::losePowerForRandomTime);
      case LOSE_POWER_ALL_AND_WIPE -> losePowerAllAndWipe(fault);
      case LOSE_POWER_AFTER_ACKNOWLEDGEMENT, WIPE_AFTER_ACKNOWLEDGEMENT ->
          faultAfterAcknowledgement = fault;
      case KILL_AFTER_RANDOM_DELAY -> killPrimaryAfterDelay(fault);
      case CRASH_AT_MESSAGES -> armedCrashes.arm(fault);
      case CRASH_PRIMARY_THEN_AT_MESSAGES -> {
        armedCrashes.arm(fault);
        kill(node, fault.durationMicros());
      }
      default -> injectLasting(fault, node);
    }
  }

  private void injectLasting(Fault fault, SimulatedNode node) {
    world.losses().markFaulty(node, world.events().nowMicros() + fault.durationMicros());
    switch (fault.kind()) {
      case SLOW_LINKS -> {
        world.network().slow(node.address(), SLOW_LINK_DELAY_MICROS);
        schedule(fault.durationMicros(), () -> world.network().slow(node.address(), 0));
      }
      case DISK_SLOW, DISK_SLOW_PRIMARY ->
          node.disk().slow(fault.durationMicros(), SLOW_DISK_FACTOR);
      case DISK_HUNG, DISK_HUNG_PRIMARY -> node.disk().hang(fault.durationMicros());
      case DISK_FULL, DISK_FULL_PRIMARY -> node.disk().fill(fault.durationMicros());
      default -> partition(fault, node);
    }
  }

  private void partition(Fault fault, SimulatedNode node) {
    NodeAddress own = node.address();
    for (NodeAddress other : others(node)) {
      boolean chosen = random.nextBoolean();
      switch (fault.kind()) {
        case PARTITION_ONE_WAY -> partitionIfChosen(chosen, own, other, fault.durationMicros());
        case PARTITION_TOWARDS_PRIMARY ->
            partitionIfChosen(true, other, own, fault.durationMicros());
        case PARTITION_FROM_PRIMARY -> partitionIfChosen(true, own, other, fault.durationMicros());
        case ISOLATE, ISOLATE_PRIMARY -> partitionBothWays(own, other, fault.durationMicros());
        default -> {}
      }
    }
    if (fault.kind() == Fault.Kind.PARTITION_IN_HALVES) {
      partitionInHalves(fault);
    }
  }

  private void partitionInHalves(Fault fault) {
    List<NodeAddress> left = new ArrayList<>();
    List<NodeAddress> right = new ArrayList<>();
    for (SimulatedNode node : world.nodes()) {
      (random.nextBoolean() ? left : right).add(node.address());
      world.losses().markFaulty(node, world.events().nowMicros() + fault.durationMicros());
    }
    left.forEach(
        one -> right.forEach(other -> partitionBothWays(one, other, fault.durationMicros())));
  }

  private void partitionBothWays(NodeAddress one, NodeAddress other, long micros) {
    partitionIfChosen(true, one, other, micros);
    partitionIfChosen(true, other, one, micros);
  }

  private void partitionIfChosen(boolean chosen, NodeAddress from, NodeAddress to, long micros) {
    if (chosen) {
      world.network().partition(from, to);
      schedule(micros, () -> world.network().endPartition(from, to));
    }
  }

  private void schedule(long micros, Runnable action) {
    world.events().after(micros, action);
  }

  private SimulatedNode target(Fault fault) {
    boolean atPrimary = fault.kind().name().contains("PRIMARY");
    return world.nodes().stream()
        .filter(node -> atPrimary && node.role().serving())
        .findFirst()
        .orElseGet(() -> world.nodes().get(fault.target() % world.nodes().size()));
  }

  private List<NodeAddress> others(SimulatedNode node) {
    return world.nodes().stream()
        .filter(other -> other != node)
        .map(SimulatedNode::address)
        .toList();
  }

  private void kill(SimulatedNode node, long micros) {
    node.kill();
    resetConnectionsAtRandom(node);
    restartIn(node, micros);
  }

  private void killForRandomTime(SimulatedNode node) {
    kill(node, MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
  }

  private void losePower(SimulatedNode node, long micros) {
    node.losePower();
    resetConnectionsAtRandom(node);
    restartIn(node, micros);
  }

  private void losePowerForRandomTime(SimulatedNode node) {
    losePower(node, MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
  }

  /**
   * Resets the connections of a crashed process at random, which may lose the messages in flight.
   */
  private void resetConnectionsAtRandom(SimulatedNode node) {
    if (random.nextBoolean()) {
      world.network().resetAll(node.address(), others(node));
    }
  }

  private void restartIn(SimulatedNode node, long micros) {
    world.losses().markFaulty(node, world.events().nowMicros() + micros);
    schedule(micros, () -> world.restart(node));
  }

  private boolean wipe(SimulatedNode node, long micros) {
    if (!world.losses().mayLose(node, world.shape().faultTolerance())) {
      return false;
    }
    node.losePower();
    node.disk().wipe();
    world.losses().wiped(node, world.events().nowMicros() + micros);
    schedule(micros, () -> world.restart(node));
    return true;
  }

  private void replace(SimulatedNode node, long micros) {
    if (world.losses().mayLose(node, world.shape().faultTolerance())) {
      world.losses().wiped(node, world.events().nowMicros() + micros);
      world.replace(node, micros);
    }
  }

  private void freeze(SimulatedNode node, long micros) {
    node.freeze();
    world.losses().markFaulty(node, world.events().nowMicros() + micros);
    schedule(micros, node::thaw);
  }

  private void losePowerAllAndWipe(Fault fault) {
    List<SimulatedNode> all = List.copyOf(world.nodes());
    int first = fault.target() % all.size();
    for (int i = 0; i < world.shape().faultTolerance(); i++) {
      wipe(
          all.get((first + i) % all.size()),
          MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
    }
    all.stream().filter(SimulatedNode::running).forEach(this::losePowerForRandomTime);
  }

  /**
   * Kills the primary, or cuts its power, after a short random delay and independently of its
   * current activity.
   */
  private void killPrimaryAfterDelay(Fault fault) {
    long delay = random.nextLong(MAX_KILL_DELAY_MICROS);
    Fault.Kind kind =
        random.nextBoolean() ? Fault.Kind.KILL_PRIMARY : Fault.Kind.LOSE_POWER_PRIMARY;
    schedule(delay, () -> inject(new Fault(0, kind, fault.target(), fault.durationMicros())));
  }

  /** Crashes a node that has sent a message if the next armed crash applies to the message. */
  void sent(SimulatedNode node, ReplicaMessage message) {
    if (stopped || !armedCrashes.crashesSender(message)) {
      return;
    }
    if (random.nextBoolean()) {
      losePower(node, armedCrashes.downMicros());
    } else {
      kill(node, armedCrashes.downMicros());
    }
  }

  /** Starts a fault that waits for an acknowledgement if a node has just acknowledged a change. */
  void acknowledged(SimulatedNode node, ClientResult result) {
    Fault fault = faultAfterAcknowledgement;
    if (stopped || fault == null || !(result instanceof ClientResult.Committed)) {
      return;
    }
    faultAfterAcknowledgement = null;
    schedule(0, () -> crashAfterAcknowledgement(node, fault));
  }

  private void crashAfterAcknowledgement(SimulatedNode node, Fault fault) {
    boolean wiped =
        fault.kind() == Fault.Kind.WIPE_AFTER_ACKNOWLEDGEMENT && wipe(node, fault.durationMicros());
    if (!wiped) {
      losePower(node, fault.durationMicros());
    }
  }
}
