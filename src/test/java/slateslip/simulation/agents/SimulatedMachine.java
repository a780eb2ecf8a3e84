package slateslip.simulation.agents;

/** A machine with an address and, while it has power and is started, a process. */
abstract class SimulatedMachine {
  private final String address;
  private SimulatedProcess process;
  private boolean powered = true;
  private long troubledUntil;

  SimulatedMachine(String address) {
    this.address = address;
  }

  String address() {
    return address;
  }

  /** Its process; null while none runs. */
  SimulatedProcess process() {
    return process;
  }

  boolean isRunning() {
    return process != null;
  }

  /** Whether its process runs and is not frozen. */
  boolean isWell() {
    return process != null && !process.isFrozen();
  }

  boolean isPowered() {
    return powered;
  }

  void started(SimulatedProcess started) {
    process = started;
    powered = true;
  }

  /** Its process is gone, with all of its sockets. */
  void ended(boolean withPower) {
    process.end();
    process = null;
    powered = withPower;
  }

  /** Something happens to this machine until a time. */
  void troubled(long untilMicros) {
    troubledUntil = Math.max(troubledUntil, untilMicros);
  }

  long troubledUntil() {
    return troubledUntil;
  }

  /** Takes a connection that came in, on its process's event loop. */
  abstract SimulatedSocket.Listener accept(SimulatedSocket socket);

  @Override
  public String toString() {
    return address;
  }
}
