package slateslip.simulation.dataplane;

import java.util.SplittableRandom;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.simulation.EventQueue;

/** Simulates connections between data planes and backends with delays, refusals and resets. */
final class SimulatedNetwork {
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
  private static final long LATEST_RESET_MICROS = 150_000;

  /** Share of calls that need a new connection because no idle connection is available. */
  private static final double NEW_CONNECTION_SHARE = 0.5;

  private final WorldPlan plan;
  private final EventQueue loop;
  private final FaultWindows windows;
  private final SplittableRandom random;
  private final LongBodies longBodies;

  SimulatedNetwork(WorldPlan plan, EventQueue loop, FaultWindows windows) {
    this.plan = plan;
    this.loop = loop;
    this.windows = windows;
    this.random = new SplittableRandom(plan.seed() ^ 0x4e45_5457L);
    this.longBodies = new LongBodies(plan, loop, windows);
  }

  /** Sends a call to a backend. */
  void send(BackendCall call, SimulatedBackend backend) {
    boolean newConnection = random.nextDouble() < NEW_CONNECTION_SHARE;
    LongBodies.Transfer transfer = longBodies.next();
    if (transfer == null) {
      call.transmission().completed();
    } else {
      longBodies.send(call, transfer, () -> reset(call, backend));
    }
    if (transfer == null || transfer.includesHead()) {
      loop.after(delay(call.host(), backend), () -> arrive(call, backend, newConnection));
    }
    double resetShare = windows.strength(Fault.Kind.RESETS);
    if (resetShare > 0 && random.nextDouble() < resetShare) {
      loop.after(random.nextLong(LATEST_RESET_MICROS), () -> reset(call, backend));
    }
  }

  private void arrive(BackendCall call, SimulatedBackend backend, boolean newConnection) {
    if (call.closed()) {
      return;
    }
    switch (backend.condition()) {
      case UP, DRAINING -> backend.arrive(call);
      case DOWN ->
          reply(
              call,
              backend,
              newConnection ? new BackendReply.NotConnected() : new BackendReply.Reset(),
              null);
      case DARK -> {
        if (newConnection) {
          loop.after(
              CONNECT_TIMEOUT_MICROS,
              () -> call.host().replied(call, new BackendReply.NotConnected(), null));
        }
      }
      default -> throw new IllegalStateException("unknown condition");
    }
  }

  private void reset(BackendCall call, SimulatedBackend backend) {
    if (call.closed()) {
      return;
    }
    call.host().replied(call, new BackendReply.Reset(), null);
    hostClosed(call, backend);
  }

  /**
   * Delivers a backend's reply to the data plane; replies arrive in the order in which they were
   * sent.
   */
  void reply(BackendCall call, SimulatedBackend backend, BackendReply reply, BackendLoad load) {
    loop.after(delay(call.host(), backend), () -> call.host().replied(call, reply, load));
  }

  /** Notifies a backend that the data plane has closed the connection of a call. */
  void hostClosed(BackendCall call, SimulatedBackend backend) {
    loop.after(delay(call.host(), backend), () -> backend.connectionClosed(call));
  }

  /** Returns the one-way delay between a data plane and a backend, in microseconds. */
  long delay(DataPlaneHost host, SimulatedBackend backend) {
    return host.zone() == backend.zone() ? plan.network().inZone() : plan.network().crossZone();
  }
}
