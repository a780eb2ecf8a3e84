package slateslip.simulation.agents;

/** A machine with an address, which has a process while the machine is powered and started. */
abstract class SimulatedMachine {
  private final String address;
  private SimulatedProcess process;
  private boolean powered = true;
  private long faultyUntilMicros;

  SimulatedMachine(String address) {
    this.address = address;
  }

  String address() {
    return address;
  }

  /** Returns the process, or null if no process runs. */
  SimulatedProcess process() {
    return process;
  }

  boolean isRunning() {
    return process != null;
  }

  /** Returns whether the process runs and is not frozen. */
  boolean isResponsive() {
    return process != null && !process.isFrozen();
  }

  boolean isPowered() {
    return powered;
  }

  void started(SimulatedProcess started) {
    process = started;
    powered = true;
  }

  /** Ends the process; the machine keeps its power or loses it. */
  void ended(boolean withPower) {
    process.end();
    process = null;
    powered = withPower;
  }

  /** Records that a fault affects the machine until the given time in microseconds. */
  void faultActiveUntil(long untilMicros) {
    faultyUntilMicros = Math.max(faultyUntilMicros, untilMicros);
  }

  long faultyUntilMicros() {
    return faultyUntilMicros;
  }

  /** Accepts an incoming connection; called on the event loop of the machine's process. */
  abstract SimulatedSocket.Listener accept(SimulatedSocket socket);

  @Override
  public String toString() {
    return address;
  }
}
