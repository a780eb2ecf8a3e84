package slateslip.simulation.dataplane;

import java.util.SplittableRandom;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.simulation.EventQueue;

/** Connections between data planes and backends: delays, refused and broken connections. */
final class SimulatedNetwork {
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
  private static final long LATEST_RESET_MICROS = 150_000;

  /** Share of calls that find no idle connection. */
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

  /** Carries a call to a backend. */
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

  /** Carries what a backend says back to the data plane, in order. */
  void reply(BackendCall call, SimulatedBackend backend, BackendReply reply, BackendLoad load) {
    loop.after(delay(call.host(), backend), () -> call.host().replied(call, reply, load));
  }

  /** Tells a backend that the data plane has closed a connection. */
  void hostClosed(BackendCall call, SimulatedBackend backend) {
    loop.after(delay(call.host(), backend), () -> backend.connectionClosed(call));
  }

  /** One way between a data plane and a backend. */
  long delay(DataPlaneHost host, SimulatedBackend backend) {
    return host.zone() == backend.zone() ? plan.network().inZone() : plan.network().crossZone();
  }
}
