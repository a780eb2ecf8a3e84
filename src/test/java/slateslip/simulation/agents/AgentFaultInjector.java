package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Starts the faults of a schedule and ends each fault after its duration. */
final class AgentFaultInjector {
  private static final long MIN_DOWNTIME_MICROS = 50_000;
  private static final long RESTART_SPREAD_MICROS = 1_000_000;
  private static final long SLOW_LINK_DELAY_MICROS = 60_000;
  private static final long SLOW_DISK_FACTOR = 40;
  private static final long TERMINATION_TIMEOUT_MICROS = 3_000_000;

  private final AgentWorld world;
  private final SplittableRandom random;
  private boolean stopped;

  AgentFaultInjector(AgentWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
  }

  /** Stops the injection of further faults. */
  void stop() {
    stopped = true;
  }

  void inject(AgentFault fault) {
    if (stopped) {
      return;
    }
    world.rules().faultActiveUntil(now());
    ControlMachine machine = target(fault);
    switch (fault.kind()) {
      case KILL, KILL_PRIMARY -> kill(machine, fault.durationMicros());
      case LOSE_POWER, LOSE_POWER_PRIMARY -> losePower(machine, fault.durationMicros());
      case WIPE, WIPE_PRIMARY -> wipe(machine, fault.durationMicros());
      case REPLACE, REPLACE_PRIMARY -> replace(machine, fault.durationMicros());
      case REPLACE_PLANNED, REPLACE_PRIMARY_PLANNED ->
          replacePlanned(machine, fault.durationMicros());
      case RESTART, RESTART_PRIMARY -> restart(machine);
      case FREEZE, FREEZE_PRIMARY -> freeze(machine, fault.durationMicros());
      case RESET -> world.network().resetAll(machine);
      case KILL_ALL -> List.copyOf(world.controlMachines()).forEach(this::killForRandomTime);
      case LOSE_POWER_ALL ->
          List.copyOf(world.controlMachines()).forEach(this::losePowerForRandomTime);
      case LOSE_POWER_ALL_AND_WIPE -> losePowerAllAndWipe(fault);
      case KILL_DATA_PLANE -> killDataPlane(dataPlane(fault), fault.durationMicros());
      case RESET_DATA_PLANE -> resetDataPlane(dataPlane(fault));
      case KILL_EVERYTHING -> killEverything();
      case FREEZE_DATA_PLANE -> freezeDataPlane(dataPlane(fault), fault.durationMicros());
      case SLOW_LINKS,
          DISK_SLOW,
          DISK_SLOW_PRIMARY,
          DISK_HUNG,
          DISK_HUNG_PRIMARY,
          DISK_FULL,
          DISK_FULL_PRIMARY ->
          injectLasting(fault, machine);
      default -> partition(fault, machine);
    }
  }

  private long now() {
    return world.events().nowMicros();
  }

  private ControlMachine target(AgentFault fault) {
    List<ControlMachine> machines = world.controlMachines();
    boolean atPrimary = fault.kind().name().contains("PRIMARY");
    return machines.stream()
        .filter(machine -> atPrimary && machine.isServing())
        .findFirst()
        .orElseGet(() -> machines.get(fault.target() % machines.size()));
  }

  private DataPlaneMachine dataPlane(AgentFault fault) {
    return world.dataPlanes().get(fault.target() % world.dataPlanes().size());
  }

  /** Runs an action after a delay and records that a fault is active at that time. */
  private void schedule(long micros, Runnable action) {
    world
        .events()
        .after(
            micros,
            () -> {
              if (!stopped) {
                world.rules().faultActiveUntil(now());
                action.run();
              }
            });
  }

  private void recordFault(ControlMachine machine, long micros) {
    world.losses().markFaulty(machine, now() + micros);
  }

  // ---- processes ----

  private void kill(ControlMachine machine, long micros) {
    machine.kill();
    restartIn(machine, micros);
  }

  private void killForRandomTime(ControlMachine machine) {
    kill(machine, MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
  }

  private void losePower(ControlMachine machine, long micros) {
    machine.losePower();
    restartIn(machine, micros);
  }

  private void losePowerForRandomTime(ControlMachine machine) {
    losePower(machine, MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
  }

  private void restartIn(ControlMachine machine, long micros) {
    recordFault(machine, micros);
    schedule(micros, () -> world.start(machine, false));
  }

  private void restart(ControlMachine machine) {
    recordFault(machine, TERMINATION_TIMEOUT_MICROS);
    machine.terminate(TERMINATION_TIMEOUT_MICROS, () -> restartIn(machine, MIN_DOWNTIME_MICROS));
  }

  private void freeze(ControlMachine machine, long micros) {
    if (machine.isResponsive()) {
      SimulatedProcess frozen = machine.process();
      frozen.freeze();
      recordFault(machine, micros);
      schedule(micros, () -> thaw(machine, frozen));
    }
  }

  private static void thaw(SimulatedMachine machine, SimulatedProcess frozen) {
    if (machine.process() == frozen && frozen.isFrozen()) {
      frozen.thaw();
    }
  }

  // ---- disks and machines ----

  private boolean wipe(ControlMachine machine, long micros) {
    if (!world.losses().mayLose(machine, world.shape().tolerance())) {
      return false;
    }
    machine.losePower();
    machine.wipe();
    world.losses().wiped(machine, now() + micros);
    schedule(micros, () -> world.start(machine, false));
    return true;
  }

  private void losePowerAllAndWipe(AgentFault fault) {
    List<ControlMachine> all = List.copyOf(world.controlMachines());
    int first = fault.target() % all.size();
    for (int i = 0; i < world.shape().tolerance(); i++) {
      wipe(
          all.get((first + i) % all.size()),
          MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS));
    }
    all.stream().filter(SimulatedMachine::isRunning).forEach(this::losePowerForRandomTime);
  }

  private void replace(ControlMachine machine, long micros) {
    if (world.losses().mayLose(machine, world.shape().tolerance())) {
      machine.losePower();
      ControlMachine other = world.replacement(machine);
      world.remove(machine);
      world.losses().wiped(machine, now() + micros);
      schedule(micros, () -> world.start(other, false));
    }
  }

  /** Starts a replacement at once and sends SIGTERM to the replaced machine after a delay. */
  private void replacePlanned(ControlMachine machine, long micros) {
    if (world.losses().mayLose(machine, world.shape().tolerance())) {
      ControlMachine other = world.replacement(machine);
      world.start(other, false);
      world.losses().wiped(machine, now() + micros);
      schedule(
          micros,
          () -> machine.terminate(TERMINATION_TIMEOUT_MICROS, () -> removeStopped(machine)));
    }
  }

  private void removeStopped(ControlMachine machine) {
    world.rules().faultActiveUntil(now());
    world.remove(machine);
    recordFault(machine, 0);
  }

  private void injectLasting(AgentFault fault, ControlMachine machine) {
    long micros = fault.durationMicros();
    recordFault(machine, micros);
    world.rules().faultActiveUntil(now() + micros);
    switch (fault.kind()) {
      case SLOW_LINKS -> {
        world.network().slow(machine.address(), SLOW_LINK_DELAY_MICROS);
        schedule(micros, () -> world.network().slow(machine.address(), 0));
      }
      case DISK_SLOW, DISK_SLOW_PRIMARY -> machine.disk().slow(micros, SLOW_DISK_FACTOR);
      case DISK_HUNG, DISK_HUNG_PRIMARY -> machine.disk().hang(micros);
      default -> machine.disk().fill(micros);
    }
  }

  // ---- partitions ----

  private void partition(AgentFault fault, ControlMachine machine) {
    recordFault(machine, fault.durationMicros());
    String own = machine.address();
    List<String> otherAgents = otherAgentAddresses(machine);
    List<String> dataPlaneAddresses =
        world.dataPlanes().stream().map(SimulatedMachine::address).toList();
    switch (fault.kind()) {
      case ISOLATE, ISOLATE_PRIMARY -> partitionBothWays(own, otherAgents, fault.durationMicros());
      case PARTITION_FROM_ALL, PARTITION_PRIMARY_FROM_ALL -> {
        partitionBothWays(own, otherAgents, fault.durationMicros());
        partitionBothWays(own, dataPlaneAddresses, fault.durationMicros());
      }
      case PARTITION_FROM_DATA_PLANES ->
          partitionBothWays(own, dataPlaneAddresses, fault.durationMicros());
      case PARTITION_OUTBOUND, PARTITION_PRIMARY_OUTBOUND ->
          otherAgents.forEach(other -> partition(own, other, fault.durationMicros()));
      case PARTITION_INBOUND, PARTITION_PRIMARY_INBOUND ->
          otherAgents.forEach(other -> partition(other, own, fault.durationMicros()));
      case ISOLATE_WITH_SEEDS -> isolateWithSeeds(fault, own, otherAgents);
      default -> partitionInHalves(fault);
    }
  }

  private List<String> otherAgentAddresses(ControlMachine machine) {
    return world.controlMachines().stream()
        .filter(other -> other != machine)
        .map(SimulatedMachine::address)
        .toList();
  }

  private void isolateWithSeeds(AgentFault fault, String own, List<String> otherAgents) {
    partitionBothWays(own, otherAgents, fault.durationMicros());
    List<String> seeds = new ArrayList<>(List.of(own));
    otherAgents.stream().limit(2).forEach(seeds::add);
    world.changeSeeds(seeds);
    killDataPlane(dataPlane(fault), MIN_DOWNTIME_MICROS);
  }

  private void partitionInHalves(AgentFault fault) {
    List<String> left = new ArrayList<>();
    List<String> right = new ArrayList<>();
    for (ControlMachine machine : world.controlMachines()) {
      (random.nextBoolean() ? left : right).add(machine.address());
      recordFault(machine, fault.durationMicros());
    }
    left.forEach(one -> partitionBothWays(one, right, fault.durationMicros()));
  }

  private void partitionBothWays(String one, List<String> others, long micros) {
    for (String other : others) {
      partition(one, other, micros);
      partition(other, one, micros);
    }
  }

  private void partition(String from, String to, long micros) {
    world.network().partition(from, to);
    schedule(micros, () -> world.network().endPartition(from, to));
  }

  // ---- data planes ----

  private void killDataPlane(DataPlaneMachine machine, long micros) {
    machine.kill();
    machine.faultActiveUntil(now() + micros);
    schedule(
        micros,
        () -> {
          world.start(machine);
          machine.faultActiveUntil(now());
        });
  }

  private void resetDataPlane(DataPlaneMachine machine) {
    machine.faultActiveUntil(now());
    world.network().resetAll(machine);
  }

  private void killEverything() {
    List.copyOf(world.controlMachines()).forEach(this::killForRandomTime);
    world
        .dataPlanes()
        .forEach(
            machine ->
                killDataPlane(
                    machine, MIN_DOWNTIME_MICROS + random.nextLong(RESTART_SPREAD_MICROS)));
  }

  private void freezeDataPlane(DataPlaneMachine machine, long micros) {
    if (machine.isResponsive()) {
      SimulatedProcess frozen = machine.process();
      frozen.freeze();
      machine.faultActiveUntil(now() + micros);
      schedule(micros, () -> thaw(machine, frozen));
    }
  }
}
