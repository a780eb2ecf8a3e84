package slateslip.simulation.agents;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import slateslip.controlplane.agent.PeerConnector;
import slateslip.protocol.coordination.ReplicaFrame;

/** A control agent's connection to a peer, which reconnects with a backoff after each failure. */
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
  private final Consumer<ReplicaFrame> forgedResponses;
  private final LongConsumer prematureAcknowledgement;
  private SimulatedSocket socket;
  private boolean helloReceived;
  private boolean closed;
  private long backoff = INITIAL_BACKOFF;

  SimulatedPeerConnection(
      SimulatedNetwork network,
      SimulatedMachine machine,
      String address,
      byte[] hello,
      PeerConnector.Listener listener,
      AgentMutation mutation,
      Consumer<ReplicaFrame> forgedResponses,
      LongConsumer prematureAcknowledgement) {
    this.prematureAcknowledgement = prematureAcknowledgement;
    this.forgedResponses = forgedResponses;
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
      network.connect(machine, address, CONNECT_MICROS, new PeerConnectListener());
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
        .forgedResponse(address, message)
        .ifPresent(response -> process.schedule(1, () -> forgedResponses.accept(response)));
    mutation
        .prematureAcknowledgement(message)
        .ifPresent(number -> process.schedule(1, () -> prematureAcknowledgement.accept(number)));
    if (socket == null) {
      return;
    }
    if (socket.bytesInFlight() > MAX_UNSENT_BYTES) {
      reset();
    } else {
      mutation.alterMessageToPeer(message).forEach(changed -> socket.send(changed));
    }
  }

  @Override
  public void reset() {
    if (socket != null) {
      socket.reset(true);
      connectionLost();
    }
  }

  @Override
  public void close() {
    closed = true;
    reset();
  }

  private void connectionLost() {
    boolean wasUp = helloReceived;
    socket = null;
    helloReceived = false;
    if (wasUp) {
      listener.disconnected();
    }
    dialLater();
  }

  private final class PeerConnectListener implements SimulatedNetwork.ConnectListener {
    @Override
    public SimulatedSocket.Listener connected(SimulatedSocket connected) {
      if (closed) {
        connected.reset(true);
      } else {
        socket = connected;
        socket.send(hello);
      }
      return new HelloListener(connected);
    }

    @Override
    public void failed() {
      dialLater();
    }
  }

  /** Receives the hello message of the peer; the peer sends no other message on the connection. */
  private final class HelloListener implements SimulatedSocket.Listener {
    private final SimulatedSocket own;

    private HelloListener(SimulatedSocket own) {
      this.own = own;
    }

    @Override
    public void received(byte[] message) {
      if (socket == own && !helloReceived) {
        helloReceived = true;
        backoff = INITIAL_BACKOFF;
        listener.connected(message);
      }
    }

    @Override
    public void closed() {
      if (socket == own) {
        connectionLost();
      }
    }
  }
}
