package slateslip.simulation.agents;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateslip.controlplane.agent.AgentIdentity;
import slateslip.controlplane.agent.AgentSettings;
import slateslip.controlplane.agent.AgentStatus;
import slateslip.controlplane.agent.ControlAgent;
import slateslip.controlplane.agent.DataPlaneStream;
import slateslip.controlplane.agent.IncomingConnection;
import slateslip.controlplane.agent.PeerConnector;
import slateslip.controlplane.agent.WriteAheadLog;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.Effects;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeLocation;
import slateslip.distribution.BackendSession;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.peer.ControlPeerCodec;
import slateslip.simulation.EventQueue;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.SimulatedDisk;
import slateslip.storage.RingOptions;

/** A machine with a disk that runs an unmodified control agent while its process is alive. */
final class ControlMachine extends SimulatedMachine {
  private static final boolean LEASED_KEYS = true;
  private static final long QUOTA_WINDOW = 8_000_000;
  private static final long ACKNOWLEDGE_TIMEOUT_MILLIS = 4_000;

  private static final RingOptions RING = new RingOptions(3, 0);

  private final EventQueue events;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final AgentMutation mutation;
  private final double clockRate;
  private final SimulatedDisk disk;
  private ControlAgent agent;
  private byte[] hello;

  ControlMachine(
      String address,
      EventQueue events,
      SplittableRandom random,
      SimulatedNetwork network,
      AgentMutation mutation,
      double clockRate) {
    super(address);
    this.events = events;
    this.random = random;
    this.network = network;
    this.mutation = mutation;
    this.clockRate = clockRate;
    disk = new SimulatedDisk(events, random.split(), RING, mutation::alterRecoveredRecord);
    mutation.alterDisk(disk);
  }

  SimulatedDisk disk() {
    return disk;
  }

  /** Starts the process, which recovers its state from the disk; does nothing if it runs. */
  void start(List<String> seeds, boolean bootstrap, int tolerance, long heartbeatMillis) {
    if (isRunning()) {
      return;
    }
    SimulatedProcess process = new SimulatedProcess(events, random.split(), clockRate);
    started(process);
    AgentIdentity identity = new AgentIdentity(address(), mutation.incarnation(random.nextLong()));
    hello = new ControlPeerCodec().encode(mutation.alterHello(identity.hello()));
    AgentSettings settings =
        new AgentSettings(
            address(),
            address(),
            seeds,
            bootstrap,
            NodeLocation.UNKNOWN,
            FailureTolerance.ofMachines(tolerance),
            heartbeatMillis,
            LEASED_KEYS,
            QUOTA_WINDOW,
            ACKNOWLEDGE_TIMEOUT_MILLIS);
    agent =
        new ControlAgent(
            process,
            this::connect,
            settings,
            identity,
            new DiskLog(process),
            broken -> {
              throw new RuleViolation("a control agent detected a violated invariant: " + broken);
            });
    agent.start();
  }

  private PeerConnector.PeerConnection connect(
      String peer, byte[] ownHello, PeerConnector.Listener listener) {
    SimulatedPeerConnection connection =
        new SimulatedPeerConnection(
            network,
            this,
            peer,
            ownHello,
            listener,
            mutation,
            frame -> agent.replicaMessageReceived(frame),
            number -> stored(peer, number));
    connection.dial();
    return connection;
  }

  private void stored(String peer, long number) {
    agent.peerMessageReceived(
        new ControlPeerMessage.Hello(peer, 0),
        new ControlPeerMessage.SessionChangesAcknowledged(number));
  }

  /** Applies new seed addresses to the settings of the running control agent. */
  void seedsChanged(List<String> seeds, int tolerance, long heartbeatMillis) {
    if (isRunning()) {
      AgentSettings settings =
          new AgentSettings(
              address(),
              address(),
              seeds,
              false,
              NodeLocation.UNKNOWN,
              FailureTolerance.ofMachines(tolerance),
              heartbeatMillis,
              LEASED_KEYS,
              QUOTA_WINDOW,
              ACKNOWLEDGE_TIMEOUT_MILLIS);
      process().execute(this, () -> agent.settingsChanged(settings));
    }
  }

  @Override
  SimulatedSocket.Listener accept(SimulatedSocket socket) {
    IncomingConnection connection =
        new IncomingConnection(new SocketStream(socket, mutation), hello, agent);
    return new SimulatedSocket.Listener() {
      @Override
      public void received(byte[] message) {
        connection.received(message);
      }

      @Override
      public void closed() {
        if (mutation.forgetsReconnecting() && connection.isDataPlane()) {
          connection.received(
              new DistributionCodec()
                  .encode(new DataPlaneMessage.Subscribe("", 0, "", Long.MAX_VALUE, false)));
        }
        connection.closed();
      }

      @Override
      public void writable() {
        connection.writable();
      }
    };
  }

  AgentStatus status() {
    return agent.status();
  }

  boolean isServing() {
    return isResponsive() && agent.status().serving();
  }

  void call(OperatorRequest call, Consumer<OperatorResponse> response) {
    agent.handleOperatorRequest(call, response);
  }

  void heartbeat(BackendSession session, Consumer<Boolean> acknowledged) {
    agent.backendHeartbeat(session, acknowledged);
  }

  void deregister(String id, Consumer<Boolean> acknowledged) {
    agent.deregister(id, acknowledged);
  }

  /**
   * Sends SIGTERM. The process ends when the view no longer depends on its replica, or after the
   * timeout.
   */
  void terminate(long timeoutMicros, Runnable ended) {
    if (!isRunning()) {
      ended.run();
      return;
    }
    SimulatedProcess terminated = process();
    Runnable end =
        () -> {
          if (process() == terminated) {
            kill();
            ended.run();
          }
        };
    terminated.execute(
        this, () -> agent.shutDownGracefully(timeoutMicros, () -> events.after(0, end)));
  }

  void kill() {
    if (isRunning()) {
      disk.processKilled();
      ended(true);
      network.processKilled(this);
    }
  }

  void losePower() {
    if (isRunning()) {
      disk.powerLost();
      ended(false);
      network.powerLost(this);
    }
  }

  /** Deletes the contents of the disk while no process runs. */
  void wipe() {
    List<DurableRecord> before = disk.open((token, durable) -> {});
    disk.wipe();
    mutation.recordAfterLoss(before).ifPresent(disk::put);
  }

  /** A stream to a data plane over a simulated socket. */
  private record SocketStream(SimulatedSocket socket, AgentMutation mutation)
      implements DataPlaneStream {
    @Override
    public boolean isWritable() {
      return socket.isWritable();
    }

    @Override
    public void write(byte[] message) {
      if (!mutation.dropsMessageToDataPlane(message, socket.bytesInFlight())) {
        socket.send(mutation.alterMessageToDataPlane(message));
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
      socket.reset(true);
    }
  }

  /** A write-ahead log on the simulated disk. */
  private final class DiskLog implements WriteAheadLog {
    private final SimulatedProcess process;
    private final Map<Long, Consumer<Boolean>> waiting = new HashMap<>();
    private final List<DurableRecord> recovered;
    private long lastToken;

    private DiskLog(SimulatedProcess process) {
      this.process = process;
      recovered = disk.open(this::written);
    }

    private void written(long token, boolean durable) {
      process.execute(disk, () -> waiting.remove(token).accept(durable));
    }

    @Override
    public List<DurableRecord> recovered() {
      return recovered;
    }

    @Override
    public void start() {}

    @Override
    public void write(DurableRecord record, Consumer<Boolean> done) {
      lastToken++;
      waiting.put(lastToken, done);
      disk.start(new Effects.DurableWrite(lastToken, record));
    }
  }
}
