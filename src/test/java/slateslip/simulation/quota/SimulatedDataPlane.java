package slateslip.simulation.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import slateslip.configuration.Tenant;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.routing.quota.QuotaCharge;
import slateslip.routing.quota.QuotaDecision;
import slateslip.routing.quota.QuotaWait;
import slateslip.routing.quota.TenantQuotas;

/** Simulates the quotas of one data plane. */
final class SimulatedDataPlane {
  private static final long TICK_MICROS = 100_000;
  private static final long REPORT_MICROS = 250_000;
  private static final int INITIAL_DATA_PLANES = 16;

  private final QuotaWorld world;
  private final int index;
  private final Deque<Runnable> pausedInbound = new ArrayDeque<>();
  private List<Tenant> tenants;
  private TenantQuotas quotas;
  private final List<QuotaWait> waiting = new ArrayList<>();
  private int incarnation;
  private int restarts;
  private long startedMicros;
  private long partitionedUntilMicros;
  private long frozenUntilMicros;
  private long reportedMicros;
  private double largestFraction;

  SimulatedDataPlane(QuotaWorld world, int index) {
    this.world = world;
    this.index = index;
    this.tenants = world.tenants();
  }

  void start() {
    startProcess();
    world.loop().after(world.random().nextLong(TICK_MICROS), this::tick);
  }

  private void startProcess() {
    quotas = new TenantQuotas(QuotaWorld.BOUNDS, now(), INITIAL_DATA_PLANES);
    quotas.configure(tenants, now());
    waiting.clear();
  }

  void restart() {
    incarnation = world.mutation().nextIncarnation(incarnation);
    restarts++;
    startedMicros = now();
    pausedInbound.clear();
    frozenUntilMicros = 0;
    startProcess();
  }

  void partition(long forMicros) {
    partitionedUntilMicros = Math.max(partitionedUntilMicros, now() + forMicros);
  }

  void freeze(long forMicros) {
    frozenUntilMicros = now() + forMicros;
    world.loop().at(frozenUntilMicros, this::thaw);
  }

  private void thaw() {
    while (now() >= frozenUntilMicros && !pausedInbound.isEmpty()) {
      pausedInbound.poll().run();
    }
  }

  private void inbound(Runnable action) {
    if (now() < frozenUntilMicros) {
      pausedInbound.add(action);
    } else {
      action.run();
    }
  }

  void configure(List<Tenant> changed) {
    inbound(
        () -> {
          tenants = changed;
          if (world.mutation().forgetsRemovedTenants() && changed.isEmpty()) {
            startProcess();
          }
          quotas.configure(changed, now());
          decideWaiting();
        });
  }

  private void tick() {
    world.loop().after(TICK_MICROS, this::tick);
    if (now() < frozenUntilMicros) {
      return;
    }
    decideWaiting();
    QuotaReport report = quotas.report(now());
    if (report.waiting() || now() - reportedMicros >= REPORT_MICROS) {
      reportedMicros = now();
      if (now() >= partitionedUntilMicros) {
        world.primaries().report(this, world.mutation().changed(report));
      }
    }
  }

  void receive(QuotaAllocation allocation) {
    if (now() >= partitionedUntilMicros) {
      inbound(() -> apply(allocation));
    }
  }

  private void apply(QuotaAllocation allocation) {
    if (allocation.lease().incarnation() == incarnation) {
      allocation
          .tenants()
          .forEach(share -> largestFraction = Math.max(largestFraction, share.fraction()));
      long obeyedEpoch = quotas.allocatorEpoch();
      quotas.applyAllocation(
          world.mutation().changed(allocation, now(), obeyedEpoch, largestFraction), now());
      decideWaiting();
    }
  }

  /** Handles an arriving request; the request is ignored while the tenant has no limit. */
  void arrived(long units) {
    inbound(() -> admit(units));
  }

  private void admit(long units) {
    if (!isLimited()) {
      return;
    }
    handleDecision(
        quotas.request(tenants.get(0), world.mutation().countedUnits(units), now()), units);
  }

  private void decideWaiting() {
    for (QuotaWait wait : List.copyOf(waiting)) {
      QuotaDecision decision = quotas.reconsider(wait, now());
      if (!(decision instanceof QuotaDecision.Waiting)) {
        waiting.remove(wait);
        handleDecision(decision, wait.units());
      }
    }
  }

  private void handleDecision(QuotaDecision decision, long units) {
    if (decision instanceof QuotaDecision.Waiting waits) {
      waiting.add(waits.quotaWait());
      return;
    }
    if (decision instanceof QuotaDecision.Admitted admitted) {
      admitted(units, admitted.charge());
    } else {
      world.countDecision(true);
    }
  }

  /**
   * Sends an admitted request. A request that was admitted while the tenant had no limit is
   * dropped, because the quota rule does not apply to that request.
   */
  private void admitted(long units, QuotaCharge charge) {
    if (isLimited()) {
      world.countDecision(false);
      send(units, charge);
    } else {
      charge.release();
    }
  }

  private boolean isLimited() {
    return !tenants.isEmpty() && tenants.get(0).ratePerSecond() > 0;
  }

  private void send(long units, QuotaCharge charge) {
    if (world.mutation().settlesAtAdmission()) {
      charge.commit(now());
    }
    world.sent(this, units, () -> inbound(() -> started(units, charge)));
  }

  private void started(long units, QuotaCharge charge) {
    charge.commit(now());
    if (!world.drawFurtherAttempt() || !isLimited()) {
      return;
    }
    if (world.mutation().repeatsForFree()) {
      world.sent(this, units, () -> {});
      return;
    }
    QuotaCharge another = quotas.takeForRetry(tenants.get(0), units, now());
    if (another != null) {
      world.sent(this, units, () -> inbound(() -> another.commit(now())));
    }
  }

  int index() {
    return index;
  }

  /** Returns how often the process has restarted. */
  int restarts() {
    return restarts;
  }

  long startedMicros() {
    return startedMicros;
  }

  int incarnation() {
    return incarnation;
  }

  private long now() {
    return world.loop().nowMicros();
  }
}
