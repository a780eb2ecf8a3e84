package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Makes faults happen to the machines of a world, and end. */
final class AgentFaultInjector {
  private static final long MIN_DOWNTIME = 50_000;
  private static final long RESTART_SPREAD = 1_000_000;
  private static final long SLOW_LINK = 60_000;
  private static final long SLOW_DISK = 40;
  private static final long TERMINATION_TIMEOUT = 3_000_000;

  private final AgentWorld world;
  private final SplittableRandom random;
  private boolean stopped;

  AgentFaultInjector(AgentWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
  }

  /** Nothing more happens. */
  void stop() {
    stopped = true;
  }

  void inject(AgentFault fault) {
    if (stopped) {
      return;
    }
    world.rules().troubled(now());
    ControlMachine machine = target(fault);
    switch (fault.kind()) {
      case KILL, KILL_PRIMARY -> kill(machine, fault.micros());
      case LOSE_POWER, LOSE_POWER_PRIMARY -> losePower(machine, fault.micros());
      case WIPE, WIPE_PRIMARY -> wipe(machine, fault.micros());
      case REPLACE, REPLACE_PRIMARY -> replace(machine, fault.micros());
      case REPLACE_PLANNED, REPLACE_PRIMARY_PLANNED -> replacePlanned(machine, fault.micros());
      case RESTART, RESTART_PRIMARY -> restart(machine);
      case FREEZE, FREEZE_PRIMARY -> freeze(machine, fault.micros());
      case RESET -> world.network().resetAll(machine);
      case KILL_ALL -> List.copyOf(world.controlMachines()).forEach(this::killShortly);
      case LOSE_POWER_ALL -> List.copyOf(world.controlMachines()).forEach(this::losePowerShortly);
      case LOSE_POWER_ALL_AND_WIPE -> losePowerAllAndWipe(fault);
      case KILL_DATA_PLANE -> killDataPlane(dataPlane(fault), fault.micros());
      case FREEZE_DATA_PLANE -> freezeDataPlane(dataPlane(fault), fault.micros());
      case SLOW_LINKS,
          DISK_SLOW,
          DISK_SLOW_PRIMARY,
          DISK_HUNG,
          DISK_HUNG_PRIMARY,
          DISK_FULL,
          DISK_FULL_PRIMARY ->
          hinder(fault, machine);
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

  /** Does something later, which is another trouble at that time. */
  private void later(long micros, Runnable action) {
    world
        .events()
        .after(
            micros,
            () -> {
              if (!stopped) {
                world.rules().troubled(now());
                action.run();
              }
            });
  }

  private void troubled(ControlMachine machine, long micros) {
    world.losses().troubled(machine, now() + micros);
  }

  // ---- processes ----

  private void kill(ControlMachine machine, long micros) {
    machine.kill();
    startLater(machine, micros);
  }

  private void killShortly(ControlMachine machine) {
    kill(machine, MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
  }

  private void losePower(ControlMachine machine, long micros) {
    machine.losePower();
    startLater(machine, micros);
  }

  private void losePowerShortly(ControlMachine machine) {
    losePower(machine, MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
  }

  private void startLater(ControlMachine machine, long micros) {
    troubled(machine, micros);
    later(micros, () -> world.start(machine, false));
  }

  private void restart(ControlMachine machine) {
    troubled(machine, TERMINATION_TIMEOUT);
    machine.terminate(TERMINATION_TIMEOUT, () -> startLater(machine, MIN_DOWNTIME));
  }

  private void freeze(ControlMachine machine, long micros) {
    if (machine.isWell()) {
      SimulatedProcess frozen = machine.process();
      frozen.freeze();
      troubled(machine, micros);
      later(micros, () -> thaw(machine, frozen));
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
    later(micros, () -> world.start(machine, false));
    return true;
  }

  private void losePowerAllAndWipe(AgentFault fault) {
    List<ControlMachine> all = List.copyOf(world.controlMachines());
    int first = fault.target() % all.size();
    for (int i = 0; i < world.shape().tolerance(); i++) {
      wipe(all.get((first + i) % all.size()), MIN_DOWNTIME + random.nextLong(RESTART_SPREAD));
    }
    all.stream().filter(SimulatedMachine::isRunning).forEach(this::losePowerShortly);
  }

  private void replace(ControlMachine machine, long micros) {
    if (world.losses().mayLose(machine, world.shape().tolerance())) {
      machine.losePower();
      ControlMachine other = world.replacement(machine);
      world.remove(machine);
      world.losses().wiped(machine, now() + micros);
      later(micros, () -> world.start(other, false));
    }
  }

  /** The new machine starts at once; the old one gets SIGTERM a while later. */
  private void replacePlanned(ControlMachine machine, long micros) {
    if (world.losses().mayLose(machine, world.shape().tolerance())) {
      ControlMachine other = world.replacement(machine);
      world.start(other, false);
      world.losses().wiped(machine, now() + micros);
      later(micros, () -> machine.terminate(TERMINATION_TIMEOUT, () -> gone(machine)));
    }
  }

  private void gone(ControlMachine machine) {
    world.rules().troubled(now());
    world.remove(machine);
    troubled(machine, 0);
  }

  private void hinder(AgentFault fault, ControlMachine machine) {
    long micros = fault.micros();
    troubled(machine, micros);
    world.rules().troubled(now() + micros);
    switch (fault.kind()) {
      case SLOW_LINKS -> {
        world.network().slow(machine.address(), SLOW_LINK);
        later(micros, () -> world.network().slow(machine.address(), 0));
      }
      case DISK_SLOW, DISK_SLOW_PRIMARY -> machine.disk().slow(micros, SLOW_DISK);
      case DISK_HUNG, DISK_HUNG_PRIMARY -> machine.disk().hang(micros);
      default -> machine.disk().fill(micros);
    }
  }

  // ---- links ----

  private void partition(AgentFault fault, ControlMachine machine) {
    troubled(machine, fault.micros());
    String own = machine.address();
    List<String> core = otherCore(machine);
    List<String> edge = world.dataPlanes().stream().map(SimulatedMachine::address).toList();
    switch (fault.kind()) {
      case ISOLATE, ISOLATE_PRIMARY -> partitionBothWays(own, core, fault.micros());
      case PARTITION_FROM_ALL, PARTITION_PRIMARY_FROM_ALL -> {
        partitionBothWays(own, core, fault.micros());
        partitionBothWays(own, edge, fault.micros());
      }
      case PARTITION_FROM_DATA_PLANES -> partitionBothWays(own, edge, fault.micros());
      case PARTITION_OUTBOUND, PARTITION_PRIMARY_OUTBOUND ->
          core.forEach(other -> partition(own, other, fault.micros()));
      case PARTITION_INBOUND, PARTITION_PRIMARY_INBOUND ->
          core.forEach(other -> partition(other, own, fault.micros()));
      case ISOLATE_WITH_SEEDS -> isolateWithSeeds(fault, own, core);
      default -> partitionInHalves(fault);
    }
  }

  private List<String> otherCore(ControlMachine machine) {
    return world.controlMachines().stream()
        .filter(other -> other != machine)
        .map(SimulatedMachine::address)
        .toList();
  }

  private void isolateWithSeeds(AgentFault fault, String own, List<String> core) {
    partitionBothWays(own, core, fault.micros());
    List<String> seeds = new ArrayList<>(List.of(own));
    core.stream().limit(2).forEach(seeds::add);
    world.changeSeeds(seeds);
    killDataPlane(dataPlane(fault), MIN_DOWNTIME);
  }

  private void partitionInHalves(AgentFault fault) {
    List<String> left = new ArrayList<>();
    List<String> right = new ArrayList<>();
    for (ControlMachine machine : world.controlMachines()) {
      (random.nextBoolean() ? left : right).add(machine.address());
      troubled(machine, fault.micros());
    }
    left.forEach(one -> partitionBothWays(one, right, fault.micros()));
  }

  private void partitionBothWays(String one, List<String> others, long micros) {
    for (String other : others) {
      partition(one, other, micros);
      partition(other, one, micros);
    }
  }

  private void partition(String from, String to, long micros) {
    world.network().partition(from, to);
    later(micros, () -> world.network().join(from, to));
  }

  // ---- data planes ----

  private void killDataPlane(DataPlaneMachine machine, long micros) {
    machine.kill();
    machine.troubled(now() + micros);
    later(
        micros,
        () -> {
          world.start(machine);
          machine.troubled(now());
        });
  }

  private void freezeDataPlane(DataPlaneMachine machine, long micros) {
    if (machine.isWell()) {
      SimulatedProcess frozen = machine.process();
      frozen.freeze();
      machine.troubled(now() + micros);
      later(micros, () -> thaw(machine, frozen));
    }
  }
}
