package slateslip.simulation.quota;

import java.util.ArrayList;
import java.util.List;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.quota.QuotaAllocator;

/** Simulates the succession of control agents that are primary and allocate the quotas. */
final class SimulatedPrimaries {
  private static final long ALLOCATION_MICROS = 250_000;
  private static final long PRIMARY_SWITCH_MICROS = 1_500_000;
  private static final long WAITING_BATCH_MICROS = 20_000;
  private static final long MIN_DELAY_MICROS = 2_000;
  private static final long MAX_DELAY_MICROS = 120_000;

  private final class Primary {
    final QuotaAllocator allocator;
    boolean batchScheduled;

    final long epoch;

    Primary() {
      lastEpoch++;
      epoch = lastEpoch;
      boolean founding = epoch == 1 || world.mutation().startsAsFounder();
      long now = world.loop().nowMicros();
      allocator = new QuotaAllocator(epoch, founding, QuotaWorld.BOUNDS.windowMicros(), now);
    }
  }

  private final QuotaWorld world;
  private long lastEpoch;
  private final List<Primary> serving = new ArrayList<>();
  private long slowUntilMicros;
  private long slowMicros;

  SimulatedPrimaries(QuotaWorld world) {
    this.world = world;
  }

  void begin() {
    serving.add(new Primary());
    world.loop().after(ALLOCATION_MICROS, this::tick);
  }

  private void tick() {
    List.copyOf(serving).forEach(this::allocate);
    world.loop().after(ALLOCATION_MICROS, this::tick);
  }

  private void allocate(Primary primary) {
    primary.allocator.allocate(world.loop().nowMicros()).forEach(this::send);
  }

  private void allocateToWaiting(Primary primary) {
    primary.batchScheduled = false;
    if (serving.contains(primary)) {
      primary.allocator.allocateToWaiting(world.loop().nowMicros()).forEach(this::send);
    }
  }

  private void send(QuotaAllocator.DataPlaneAllocation allocation) {
    SimulatedDataPlane to = world.dataPlanes().get(Integer.parseInt(allocation.dataPlane()));
    world.loop().after(delay(), () -> to.receive(allocation.allocation()));
  }

  void change(long gapMicros) {
    serving.clear();
    world.loop().after(gapMicros, () -> serving.add(new Primary()));
  }

  void overlap(long forMicros) {
    List<Primary> former = List.copyOf(serving);
    serving.add(new Primary());
    world.loop().after(forMicros, () -> serving.removeAll(former));
  }

  void slow(long micros) {
    slowMicros = micros;
    slowUntilMicros = world.loop().nowMicros() + micros;
  }

  /** Sends a data plane's report to one of the active primaries. */
  void report(SimulatedDataPlane from, QuotaReport report) {
    int incarnation = from.incarnation();
    world.loop().after(delay(), () -> arrived(from, incarnation, report));
  }

  private void arrived(SimulatedDataPlane from, int incarnation, QuotaReport report) {
    if (serving.isEmpty()) {
      return;
    }
    Primary to = primaryOf(from);
    String name = Integer.toString(from.index());
    long now = world.loop().nowMicros();
    to.allocator
        .report(now, name, incarnation, world.mutation().received(report, to.epoch))
        .ifPresent(this::send);
    if (report.waiting() && !to.batchScheduled) {
      to.batchScheduled = true;
      world.loop().after(WAITING_BATCH_MICROS, () -> allocateToWaiting(to));
    }
  }

  /**
   * Returns the primary that a data plane uses at present; if several primaries are active, each
   * data plane changes between them from time to time.
   */
  private Primary primaryOf(SimulatedDataPlane dataPlane) {
    long side =
        dataPlane.index()
            + world.loop().nowMicros() / PRIMARY_SWITCH_MICROS / (1 + dataPlane.index() % 3);
    return serving.get((int) (side % serving.size()));
  }

  private long delay() {
    boolean slow = world.loop().nowMicros() < slowUntilMicros;
    long max = slow ? Math.max(MAX_DELAY_MICROS, slowMicros) : MAX_DELAY_MICROS;
    return world.random().nextLong(MIN_DELAY_MICROS, max);
  }
}
