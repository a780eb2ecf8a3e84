package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.ReplicaMessage;

/** Makes faults happen, and end. */
final class FaultInjector {
  private static final long MIN_DOWNTIME = 50_000;
  private static final long RESTART_SPREAD = 1_000_000;
  private static final long SLOW_LINK = 60_000;
  private static final long SLOW_DISK = 40;
  private static final long HALF_WAY = 30_000;

  private final ControlWorld world;
  private final SplittableRandom random;
  private boolean stopped;
  private Fault awaitsAcknowledgement;
  private final ArmedCrashes armed;

  FaultInjector(ControlWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
    armed = new ArmedCrashes(random.split());
  }

  /** Nothing more happens. */
  void stop() {
    stopped = true;
  }

  void inject(Fault fault) {
    if (stopped || world.nodes().isEmpty()) {
      return;
    }
    SimulatedNode node = target(fault);
    switch (fault.kind()) {
      case KILL, KILL_PRIMARY -> kill(node, fault.micros());
      case LOSE_POWER, LOSE_POWER_PRIMARY -> losePower(node, fault.micros());
      case WIPE, WIPE_PRIMARY -> wipe(node, fault.micros());
      case REPLACE -> replace(node, fault.micros());
      case FREEZE, FREEZE_PRIMARY -> freeze(node, fault.micros());
      case RESET -> world.network().resetAll(node.address(), others(node));
      case KILL_ALL -> List.copyOf(world.nodes()).forEach(this::killShortly);
      case LOSE_POWER_ALL -> List.copyOf(world.nodes()).forEach(this::losePowerShortly);
      case LOSE_POWER_ALL_AND_WIPE -> losePowerAllAndWipe(fault);
      case LOSE_POWER_AFTER_ACKNOWLEDGEMENT, WIPE_AFTER_ACKNOWLEDGEMENT ->
          awaitsAcknowledgement = fault;
      case KILL_HALF_WAY -> killHalfWay(fault);
      case CRASH_AT_MESSAGES -> armed.arm(fault);
      case CRASH_PRIMARY_THEN_AT_MESSAGES -> {
        armed.arm(fault);
        kill(node, fault.micros());
      }
      default -> injectLasting(fault, node);
    }
  }

  private void injectLasting(Fault fault, SimulatedNode node) {
    world.losses().troubled(node, world.events().nowMicros() + fault.micros());
    switch (fault.kind()) {
      case SLOW_LINKS -> {
        world.network().slow(node.address(), SLOW_LINK);
        later(fault.micros(), () -> world.network().slow(node.address(), 0));
      }
      case DISK_SLOW, DISK_SLOW_PRIMARY -> node.disk().slow(fault.micros(), SLOW_DISK);
      case DISK_HUNG, DISK_HUNG_PRIMARY -> node.disk().hang(fault.micros());
      case DISK_FULL, DISK_FULL_PRIMARY -> node.disk().fill(fault.micros());
      default -> partition(fault, node);
    }
  }

  private void partition(Fault fault, SimulatedNode node) {
    NodeAddress own = node.address();
    for (NodeAddress other : others(node)) {
      boolean chosen = random.nextBoolean();
      switch (fault.kind()) {
        case PARTITION_ONE_WAY -> partitionIf(chosen, own, other, fault.micros());
        case PARTITION_TOWARDS_PRIMARY -> partitionIf(true, other, own, fault.micros());
        case PARTITION_FROM_PRIMARY -> partitionIf(true, own, other, fault.micros());
        case ISOLATE, ISOLATE_PRIMARY -> partitionBothWays(own, other, fault.micros());
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
      world.losses().troubled(node, world.events().nowMicros() + fault.micros());
    }
    left.forEach(one -> right.forEach(other -> partitionBothWays(one, other, fault.micros())));
  }

  private void partitionBothWays(NodeAddress one, NodeAddress other, long micros) {
    partitionIf(true, one, other, micros);
    partitionIf(true, other, one, micros);
  }

  private void partitionIf(boolean chosen, NodeAddress from, NodeAddress to, long micros) {
    if (chosen) {
      world.network().partition(from, to);
      later(micros, () -> world.network().join(from, to));
    }
  }

  private void later(long micros, Runnable action) {
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
    loseUnsent(node);
    restartIn(node, micros);
  }

  private void killShortly(SimulatedNode node) {
    kill(node, MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
  }

  private void losePower(SimulatedNode node, long micros) {
    node.losePower();
    loseUnsent(node);
    restartIn(node, micros);
  }

  private void losePowerShortly(SimulatedNode node) {
    losePower(node, MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
  }

  /** What the process had not handed to the network yet is lost with it, at times. */
  private void loseUnsent(SimulatedNode node) {
    if (random.nextBoolean()) {
      world.network().resetAll(node.address(), others(node));
    }
  }

  private void restartIn(SimulatedNode node, long micros) {
    world.losses().troubled(node, world.events().nowMicros() + micros);
    later(micros, () -> world.restart(node));
  }

  private boolean wipe(SimulatedNode node, long micros) {
    if (!world.losses().mayLose(node, world.shape().faultTolerance())) {
      return false;
    }
    node.losePower();
    node.disk().wipe();
    world.losses().wiped(node, world.events().nowMicros() + micros);
    later(micros, () -> world.restart(node));
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
    world.losses().troubled(node, world.events().nowMicros() + micros);
    later(micros, node::thaw);
  }

  private void losePowerAllAndWipe(Fault fault) {
    List<SimulatedNode> all = List.copyOf(world.nodes());
    int first = fault.target() % all.size();
    for (int i = 0; i < world.shape().faultTolerance(); i++) {
      wipe(all.get((first + i) % all.size()), MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
    }
    all.stream().filter(SimulatedNode::running).forEach(this::losePowerShortly);
  }

  /** Kills the primary a short random time from now, whatever it then does. */
  private void killHalfWay(Fault fault) {
    long delay = random.nextLong(HALF_WAY);
    Fault.Kind kind =
        random.nextBoolean() ? Fault.Kind.KILL_PRIMARY : Fault.Kind.LOSE_POWER_PRIMARY;
    later(delay, () -> inject(new Fault(0, kind, fault.target(), fault.micros())));
  }

  /** A node has sent a message, maybe the one at which it is to crash. */
  void sent(SimulatedNode node, ReplicaMessage message) {
    if (stopped || !armed.strikes(message)) {
      return;
    }
    if (random.nextBoolean()) {
      losePower(node, armed.micros());
    } else {
      kill(node, armed.micros());
    }
  }

  /** A node has just acknowledged something. */
  void acknowledged(SimulatedNode node, ClientResult result) {
    Fault fault = awaitsAcknowledgement;
    if (stopped || fault == null || !(result instanceof ClientResult.Committed)) {
      return;
    }
    awaitsAcknowledgement = null;
    later(0, () -> strike(node, fault));
  }

  private void strike(SimulatedNode node, Fault fault) {
    boolean wiped =
        fault.kind() == Fault.Kind.WIPE_AFTER_ACKNOWLEDGEMENT && wipe(node, fault.micros());
    if (!wiped) {
      losePower(node, fault.micros());
    }
  }
}
