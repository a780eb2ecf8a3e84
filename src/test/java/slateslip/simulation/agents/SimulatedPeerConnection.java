package slateslip.simulation.agents;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import slateslip.controlplane.agent.PeerConnector;
import slateslip.protocol.coordination.ReplicaFrame;

/** A control agent's connection to a peer, dialled anew whenever it breaks, as in service. */
final class SimulatedPeerConnection implements PeerConnector.PeerConnection {
  private static final long CONNECT_MICROS = 500_000;
  private static final long INITIAL_BACKOFF = 30_000;
  private static final long MAX_BACKOFF = 400_000;
  private static final long MAX_UNSENT_BYTES = 16 * 1024 * 1024;

  private final AgentMutation mutation;
  private final SimulatedNetwork network;
  private final SimulatedMachine machine;
  private final SimulatedProcess process;
  private final String address;
  private final byte[] hello;
  private final PeerConnector.Listener listener;
  private final Consumer<ReplicaFrame> expectedResponses;
  private final LongConsumer supposedlyStored;
  private SimulatedSocket socket;
  private boolean greeted;
  private boolean closed;
  private long backoff = INITIAL_BACKOFF;

  SimulatedPeerConnection(
      SimulatedNetwork network,
      SimulatedMachine machine,
      String address,
      byte[] hello,
      PeerConnector.Listener listener,
      AgentMutation mutation,
      Consumer<ReplicaFrame> expectedResponses,
      LongConsumer supposedlyStored) {
    this.supposedlyStored = supposedlyStored;
    this.expectedResponses = expectedResponses;
    this.mutation = mutation;
    this.network = network;
    this.machine = machine;
    process = machine.process();
    this.address = address;
    this.hello = hello;
    this.listener = listener;
  }

  void dial() {
    if (!closed) {
      network.connect(machine, address, CONNECT_MICROS, new Dialling());
    }
  }

  private void dialLater() {
    if (!closed) {
      process.schedule(backoff, this::dial);
      backoff = Math.min(MAX_BACKOFF, 2 * backoff);
    }
  }

  @Override
  public void send(byte[] message) {
    mutation
        .expectedResponse(address, message)
        .ifPresent(response -> process.schedule(1, () -> expectedResponses.accept(response)));
    mutation
        .supposedlyStored(message)
        .ifPresent(number -> process.schedule(1, () -> supposedlyStored.accept(number)));
    if (socket == null) {
      return;
    }
    if (socket.underWayBytes() > MAX_UNSENT_BYTES) {
      reset();
    } else {
      mutation.betweenAgents(message).forEach(changed -> socket.send(changed));
    }
  }

  @Override
  public void reset() {
    if (socket != null) {
      socket.reset(true);
      broken();
    }
  }

  @Override
  public void close() {
    closed = true;
    reset();
  }

  private void broken() {
    boolean wasUp = greeted;
    socket = null;
    greeted = false;
    if (wasUp) {
      listener.disconnected();
    }
    dialLater();
  }

  private final class Dialling implements SimulatedNetwork.Connecting {
    @Override
    public SimulatedSocket.Listener connected(SimulatedSocket connected) {
      if (closed) {
        connected.reset(true);
      } else {
        socket = connected;
        socket.send(hello);
      }
      return new Answers(connected);
    }

    @Override
    public void failed() {
      dialLater();
    }
  }

  /** The peer's greeting is all that comes back. */
  private final class Answers implements SimulatedSocket.Listener {
    private final SimulatedSocket own;

    private Answers(SimulatedSocket own) {
      this.own = own;
    }

    @Override
    public void received(byte[] message) {
      if (socket == own && !greeted) {
        greeted = true;
        backoff = INITIAL_BACKOFF;
        listener.connected(message);
      }
    }

    @Override
    public void closed() {
      if (socket == own) {
        broken();
      }
    }
  }
}
