package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.Effects;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaInput;
import slateslip.coordination.ReplicaSettings;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.simulation.EventQueue;
import slateslip.simulation.SimulatedDisk;
import slateslip.storage.RingOptions;

/** One core machine: its disk, and its process while it runs. */
final class SimulatedNode {
  /** Takes what a replica answers. */
  interface Clients {
    void responded(SimulatedNode node, ClientResult result);
  }

  private static final RingOptions RING = new RingOptions(3, 0);
  private static final long JOURNAL_BYTES = 4_000;
  private static final Effects.RoleStatus DOWN =
      new Effects.RoleStatus(NodeId.NONE, 0, NodeId.NONE, false, 0);

  /** Whether changes of roles are printed. */
  static boolean trace;

  private final EventQueue events;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final CheckedHistory history;
  private final Clients clients;
  private final NodeAddress address;
  private final SimulatedDisk disk;
  private final Deque<ReplicaInput> paused = new ArrayDeque<>();
  private ControlReplica replica;
  private ReferenceState state;
  private Effects.RoleStatus role = DOWN;
  private boolean frozen;
  private int incarnation;
  private long wakeAt;

  SimulatedNode(
      EventQueue events,
      SplittableRandom random,
      SimulatedNetwork network,
      CheckedHistory history,
      Clients clients,
      NodeAddress address,
      Mutation mutation) {
    this.events = events;
    this.random = random;
    this.network = network;
    this.history = history;
    this.clients = clients;
    this.address = address;
    disk = new SimulatedDisk(events, random.split(), RING, mutation::recovered);
  }

  NodeAddress address() {
    return address;
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

  boolean well() {
    return replica != null && !frozen;
  }

  /** Starts the process. */
  void start(List<NodeAddress> seeds, boolean bootstrap, int faultTolerance) {
    if (replica != null) {
      return;
    }
    state = new ReferenceState(history);
    ReplicaSettings settings =
        new ReplicaSettings(address, seeds, bootstrap, faultTolerance, JOURNAL_BYTES);
    replica = new ControlReplica(settings, state, random.nextLong());
    List<DurableRecord> recovered = disk.open(this::written);
    if (trace) {
      recovered.forEach(record -> System.out.println(address + " has " + record));
    }
    handle(new ReplicaInput.Start(recovered));
  }

  private void written(long token, boolean durable) {
    handle(durable ? new ReplicaInput.Written(token) : new ReplicaInput.WriteFailed(token));
  }

  void deliver(ReplicaFrame frame) {
    handle(new ReplicaInput.Received(frame.from(), frame.message()));
  }

  /** Gives the process an input, or keeps it until the process thaws. */
  void handle(ReplicaInput input) {
    if (replica == null) {
      return;
    }
    if (frozen) {
      paused.addLast(input);
      return;
    }
    Effects effects = replica.handle(events.nowMicros(), input);
    print(effects);
    role = effects.role();
    effects.writes().forEach(disk::start);
    int current = incarnation;
    for (Effects.Send send : effects.sends()) {
      network.send(role.self(), send.to(), send.message());
      if (incarnation != current) {
        return;
      }
    }
    effects.results().forEach(result -> clients.responded(this, result));
    wakeAt(effects.wakeAtMicros());
  }

  private void print(Effects effects) {
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

  private void wakeAt(long micros) {
    wakeAt = micros;
    int current = incarnation;
    events.at(micros, () -> tick(current, micros));
  }

  private void tick(int scheduledInIncarnation, long scheduledFor) {
    if (scheduledInIncarnation == incarnation && scheduledFor == wakeAt) {
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
    role = DOWN;
    frozen = false;
    paused.clear();
  }

  void freeze() {
    frozen = replica != null;
  }

  void thaw() {
    frozen = false;
    while (replica != null && !frozen && !paused.isEmpty()) {
      handle(paused.removeFirst());
    }
  }
}
