package slateslip.simulation.agents;

/** One end of a TCP connection. */
final class SimulatedSocket {
  /** Receives the events of a socket on the event loop of the socket's process. */
  interface Listener {
    /** Handles a complete message. */
    void received(byte[] message);

    /** Handles the end of a connection that the peer or the network has ended. */
    void closed();

    /** Handles that the socket accepts further messages again. */
    default void writable() {}
  }

  /** The number of bytes in flight above which a socket is not writable. */
  static final long WINDOW_BYTES = 256 * 1024;

  private final SimulatedNetwork network;
  private final SimulatedMachine machine;
  private final SimulatedProcess process;
  private SimulatedSocket peer;
  private Listener listener;
  private boolean open = true;
  private boolean losesMessagesInFlight;
  private boolean full;

  /** Whether the connection ended before a listener was set. */
  private boolean closedEarly;

  private long lastArrival;
  private long bytesInFlight;

  SimulatedSocket(SimulatedNetwork network, SimulatedMachine machine) {
    this.network = network;
    this.machine = machine;
    process = machine.process();
  }

  static void connect(SimulatedSocket one, SimulatedSocket other) {
    one.peer = other;
    other.peer = one;
  }

  void listen(Listener newListener) {
    listener = newListener;
    if (closedEarly) {
      open = false;
      listener.closed();
    }
  }

  SimulatedMachine machine() {
    return machine;
  }

  SimulatedMachine peerMachine() {
    return peer.machine;
  }

  SimulatedProcess process() {
    return process;
  }

  boolean isOpen() {
    return open;
  }

  boolean isWritable() {
    return !full;
  }

  long bytesInFlight() {
    return bytesInFlight;
  }

  /**
   * Returns whether the messages that the socket has sent and the peer has not handled are lost.
   */
  boolean losesMessagesInFlight() {
    return losesMessagesInFlight;
  }

  /**
   * Returns the arrival time of the last sent message in microseconds. Later messages arrive no
   * earlier, so that messages keep their order.
   */
  long lastArrival() {
    return lastArrival;
  }

  void setLastArrival(long micros) {
    lastArrival = micros;
  }

  /** Sends a message, which is lost if the connection ends before the message is handled. */
  void send(byte[] message) {
    if (!open) {
      return;
    }
    bytesInFlight += message.length;
    full |= bytesInFlight > WINDOW_BYTES;
    network.transmit(this, message.length, () -> peer.arrived(message));
  }

  private void arrived(byte[] message) {
    if (peer.losesMessagesInFlight) {
      return;
    }
    if (!open) {
      resetPeer();
      return;
    }
    process.execute(
        this,
        () -> {
          peer.messageHandled(message.length);
          if (open) {
            listener.received(message);
          }
        });
  }

  /** Resets the connection of the peer if this machine, which has closed the socket, has power. */
  private void resetPeer() {
    if (machine.isPowered()) {
      network.transmit(this, 0, () -> peer.closedByPeer());
    }
  }

  private void messageHandled(long bytes) {
    bytesInFlight -= bytes;
    if (full && bytesInFlight <= WINDOW_BYTES / 2) {
      full = false;
      process.execute(this, this::notifyWritable);
    }
  }

  private void notifyWritable() {
    if (open) {
      listener.writable();
    }
  }

  /**
   * Resets the connection from this end.
   *
   * @param lossy whether the messages in flight are lost
   */
  void reset(boolean lossy) {
    if (!open) {
      return;
    }
    open = false;
    losesMessagesInFlight = lossy;
    network.transmit(this, 0, () -> peer.closedByPeer());
  }

  /** Closes the socket of a machine that lost power; the peer receives no notice. */
  void closeSilently() {
    open = false;
    losesMessagesInFlight = true;
  }

  /** Handles the end of the connection by the peer or by the network. */
  void closedByPeer() {
    if (!open) {
      return;
    }
    process.execute(
        this,
        () -> {
          if (open && listener == null) {
            closedEarly = true;
          } else if (open) {
            open = false;
            listener.closed();
          }
        });
  }
}
