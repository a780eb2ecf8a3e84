package slateslip.simulation.agents;

/** One end of a TCP connection. */
final class SimulatedSocket {
  /** Takes what comes in; called on the event loop of the end's process. */
  interface Listener {
    /** A complete message has come. */
    void received(byte[] message);

    /** The connection has ended, and not by this end. */
    void closed();

    /** The connection takes more again. */
    default void writable() {}
  }

  /** More than this may not be on its way. */
  static final long WINDOW_BYTES = 256 * 1024;

  private final SimulatedNetwork network;
  private final SimulatedMachine machine;
  private final SimulatedProcess process;
  private SimulatedSocket peer;
  private Listener listener;
  private boolean open = true;
  private boolean losesWhatIsUnderWay;
  private boolean full;

  /** The other end has gone before this one was listened to. */
  private boolean closedEarly;

  private long lastArrival;
  private long underWayBytes;

  SimulatedSocket(SimulatedNetwork network, SimulatedMachine machine) {
    this.network = network;
    this.machine = machine;
    process = machine.process();
  }

  static void join(SimulatedSocket one, SimulatedSocket other) {
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

  long underWayBytes() {
    return underWayBytes;
  }

  /** Whether what this end has sent and is not handled yet is lost. */
  boolean losesWhatIsUnderWay() {
    return losesWhatIsUnderWay;
  }

  /** Time before which nothing that is sent now may arrive: messages keep their order. */
  long lastArrival() {
    return lastArrival;
  }

  void arrivesAt(long micros) {
    lastArrival = micros;
  }

  /** Sends a message; it may be lost with the connection. */
  void send(byte[] message) {
    if (!open) {
      return;
    }
    underWayBytes += message.length;
    full |= underWayBytes > WINDOW_BYTES;
    network.transmit(this, message.length, () -> peer.arrived(message));
  }

  private void arrived(byte[] message) {
    if (peer.losesWhatIsUnderWay) {
      return;
    }
    if (!open) {
      resetPeer();
      return;
    }
    process.execute(
        this,
        () -> {
          peer.handled(message.length);
          if (open) {
            listener.received(message);
          }
        });
  }

  /** A machine that runs answers what comes for a connection that it does not know. */
  private void resetPeer() {
    if (machine.isPowered()) {
      network.transmit(this, 0, () -> peer.closedByPeer());
    }
  }

  private void handled(long bytes) {
    underWayBytes -= bytes;
    if (full && underWayBytes <= WINDOW_BYTES / 2) {
      full = false;
      process.execute(this, this::tellWritable);
    }
  }

  private void tellWritable() {
    if (open) {
      listener.writable();
    }
  }

  /**
   * Resets the connection from this end.
   *
   * @param lossy whether what is under way is lost
   */
  void reset(boolean lossy) {
    if (!open) {
      return;
    }
    open = false;
    losesWhatIsUnderWay = lossy;
    network.transmit(this, 0, () -> peer.closedByPeer());
  }

  /** The machine has lost power: the other end hears nothing. */
  void vanish() {
    open = false;
    losesWhatIsUnderWay = true;
  }

  /** The other end has ended the connection, or the network has. */
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
