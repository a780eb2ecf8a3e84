package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.Effects;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.ReplicaInput;
import slateslip.coordination.ReplicaSettings;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.simulation.EventQueue;
import slateslip.simulation.SimulatedDisk;
import slateslip.storage.RingOptions;

/** One simulated core machine: its disk, and its replica process while the process runs. */
final class SimulatedNode {
  /** Receives the results that a replica returns to clients. */
  interface ResultReceiver {
    void responded(SimulatedNode node, ClientResult result);
  }

  private static final RingOptions RING = new RingOptions(3, 0);
  private static final long SNAPSHOT_THRESHOLD_BYTES = 4_000;
  private static final Effects.RoleStatus STOPPED_ROLE =
      new Effects.RoleStatus(NodeId.NONE, 0, NodeId.NONE, false, 0);

  /** Whether the simulation prints recovered records and role changes. */
  static boolean trace;

  private final EventQueue events;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final CheckedHistory history;
  private final ResultReceiver resultReceiver;
  private final NodeAddress address;
  private final NodeLocation location;
  private final Mutation mutation;
  private final SimulatedDisk disk;
  private final Deque<ReplicaInput> queuedInputs = new ArrayDeque<>();
  private ControlReplica replica;
  private ReferenceState state;
  private Effects.RoleStatus role = STOPPED_ROLE;
  private boolean frozen;
  private int incarnation;
  private long wakeAtMicros;

  SimulatedNode(
      EventQueue events,
      SplittableRandom random,
      SimulatedNetwork network,
      CheckedHistory history,
      ResultReceiver resultReceiver,
      NodeAddress address,
      NodeLocation location,
      Mutation mutation) {
    this.location = location;
    this.mutation = mutation;
    this.events = events;
    this.random = random;
    this.network = network;
    this.history = history;
    this.resultReceiver = resultReceiver;
    this.address = address;
    disk = new SimulatedDisk(events, random.split(), RING, mutation::alterRecoveredRecord);
  }

  NodeAddress address() {
    return address;
  }

  NodeLocation location() {
    return location;
  }

  SimulatedDisk disk() {
    return disk;
  }

  Effects.RoleStatus role() {
    return role;
  }

  ReferenceState state() {
    return state;
  }

  boolean running() {
    return replica != null;
  }

  boolean responsive() {
    return replica != null && !frozen;
  }

  /** Starts the process if the process is not running. */
  void start(List<NodeAddress> seeds, boolean bootstrap, FailureTolerance tolerance) {
    if (replica != null) {
      return;
    }
    state = new ReferenceState(history);
    ReplicaSettings settings =
        new ReplicaSettings(
            address,
            location,
            seeds,
            bootstrap,
            mutation.tolerance(tolerance),
            SNAPSHOT_THRESHOLD_BYTES);
    replica = new ControlReplica(settings, state, random.nextLong());
    List<DurableRecord> recovered = disk.open(this::written);
    if (trace) {
      recovered.forEach(record -> System.out.println(address + " recovered " + record));
    }
    handle(new ReplicaInput.Start(recovered));
  }

  private void written(long token, boolean durable) {
    handle(durable ? new ReplicaInput.Written(token) : new ReplicaInput.WriteFailed(token));
  }

  void deliver(ReplicaFrame frame) {
    handle(new ReplicaInput.Received(frame.from(), frame.message()));
  }

  /**
   * Passes an input to the process, or queues the input while the process is frozen. The input is
   * dropped if the process is not running.
   */
  void handle(ReplicaInput input) {
    if (replica == null) {
      return;
    }
    if (frozen) {
      queuedInputs.addLast(input);
      return;
    }
    Effects effects = replica.handle(events.nowMicros(), input);
    traceRoleChange(effects);
    role = effects.role();
    effects.writes().forEach(disk::start);
    int current = incarnation;
    for (Effects.Send send : effects.sends()) {
      network.send(role.self(), send.to(), send.message());
      if (incarnation != current) {
        return;
      }
    }
    effects.results().forEach(result -> resultReceiver.responded(this, result));
    scheduleWakeUp(effects.wakeAtMicros());
  }

  private void traceRoleChange(Effects effects) {
    boolean changed =
        effects.role().epoch() != role.epoch() || effects.role().serving() != role.serving();
    if (trace && changed) {
      System.out.println(events.nowMicros() / 1000 + " " + address + " " + effects.role());
      effects.sends().stream()
          .filter(send -> send.message() instanceof slateslip.coordination.ReplicaMessage.Decided)
          .limit(1)
          .forEach(send -> System.out.println("    " + send.message()));
    }
  }

  private void scheduleWakeUp(long micros) {
    wakeAtMicros = micros;
    int current = incarnation;
    events.at(micros, () -> tick(current, micros));
  }

  private void tick(int scheduledInIncarnation, long scheduledFor) {
    if (scheduledInIncarnation == incarnation && scheduledFor == wakeAtMicros) {
      handle(new ReplicaInput.Tick());
    }
  }

  void kill() {
    if (replica != null) {
      disk.processKilled();
      stop();
    }
  }

  void losePower() {
    if (replica != null) {
      disk.powerLost();
      stop();
    }
  }

  private void stop() {
    incarnation++;
    replica = null;
    role = STOPPED_ROLE;
    frozen = false;
    queuedInputs.clear();
  }

  void freeze() {
    frozen = replica != null;
  }

  void thaw() {
    frozen = false;
    while (replica != null && !frozen && !queuedInputs.isEmpty()) {
      handle(queuedInputs.removeFirst());
    }
  }
}
