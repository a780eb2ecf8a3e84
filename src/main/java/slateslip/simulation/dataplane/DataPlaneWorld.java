package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import slateslip.configuration.RoutingTable;
import slateslip.routing.RequestRouter;
import slateslip.routing.RequestTransmission;
import slateslip.routing.RouterSettings;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;
import slateslip.simulation.EventQueue;
import slateslip.simulation.dataplane.Violation.Rule;

/** Runs the real routers against simulated backends and clients under a schedule of faults. */
public final class DataPlaneWorld {
  /** Time after the last request by which all requests must have ended. */
  private static final long DRAIN_MICROS = 15_000_000;

  private static final long RELEASE_DRAIN_MICROS = 2_500_000;
  private static final long RELEASE_CHECK_MICROS = 100_000;

  private final WorldPlan plan;
  private final RouterFactory factory;
  private final Supplier<RequestTransmission> transmissions;
  private final EventQueue loop = new EventQueue();
  private final RuleChecker checker;
  private final SimulatedNetwork network;
  private final SimulatedControl control;
  private final Ingress ingress;
  private final Measurements measurements;
  private final FaultWindows windows;
  private final List<DataPlaneHost> hosts = new ArrayList<>();
  private final List<ClientRequest> requests = new ArrayList<>();
  private long attempts;
  private long digest;

  /** Creates the router of a data plane. */
  public interface RouterFactory {
    /** Returns a router without a routing table and backends. */
    RequestRouter create(RouterSettings settings);
  }

  /**
   * The result of a run.
   *
   * @param violations broken rules in the order of detection
   * @param measurements figures recorded by clients and engines
   * @param digest hash of all request outcomes and their times; equal plans give equal digests
   * @param requests number of requests that clients began
   */
  public record Result(
      List<Violation> violations, Measurements measurements, long digest, int requests) {}

  private DataPlaneWorld(
      WorldPlan plan, RouterFactory factory, Supplier<RequestTransmission> transmissions) {
    this.plan = plan;
    this.factory = factory;
    this.transmissions = transmissions;
    this.checker = new RuleChecker(plan, loop);
    this.windows = new FaultWindows(plan.faults(), loop);
    this.network = new SimulatedNetwork(plan, loop, windows);
    this.control =
        new SimulatedControl(plan, loop, new RoutingTable(WorldPlans.configuration(plan)));
    this.ingress = new Ingress(plan, loop);
    this.measurements = new Measurements();
  }

  /** Runs a plan to its end. */
  public static Result run(WorldPlan plan, RouterFactory factory) {
    return run(plan, factory, RequestTransmission::new);
  }

  /**
   * Runs a plan to its end.
   *
   * @param transmissions creates the object that tracks how much of an attempt's request was sent
   *     and that classifies an attempt whose connection ends meanwhile
   */
  static Result run(
      WorldPlan plan, RouterFactory factory, Supplier<RequestTransmission> transmissions) {
    DataPlaneWorld world = new DataPlaneWorld(plan, factory, transmissions);
    world.build();
    new Traffic(world, world.windows).begin();
    plan.faults().forEach(fault -> world.loop.at(fault.atMicros(), () -> world.injectFault(fault)));
    world.loop.runUntil(plan.durationMicros() + DRAIN_MICROS);
    world.checkEnd();
    return new Result(
        world.checker.violations(), world.measurements, world.digest, world.requests.size());
  }

  private void build() {
    for (WorldPlan.BackendGroup group : plan.backends()) {
      for (int i = 0; i < group.count(); i++) {
        control.add(backend(group, i));
      }
    }
    for (int i = 0; i < plan.dataPlanes(); i++) {
      addHost();
    }
    control.startQuotaAllocation(plan.durationMicros() + DRAIN_MICROS);
  }

  private SimulatedBackend backend(WorldPlan.BackendGroup group, int index) {
    int zone = index % plan.zones();
    return group.engine() == null
        ? new PlainBackend(loop, network, checker, group, index, zone)
        : new EngineBackend(loop, network, checker, measurements, group, index, zone);
  }

  private void addHost() {
    DataPlaneHost host = new DataPlaneHost(this, hosts.size(), hosts.size() % plan.zones());
    hosts.add(host);
    startHost(host);
    ingress.add(host);
  }

  private void startHost(DataPlaneHost host) {
    long seed = plan.seed() * 31 + host.index() + loop.nowMicros();
    WorldPlan.Bounds bounds = plan.bounds();
    RouterSettings settings =
        new RouterSettings(
            WorldPlans.zoneName(host.zone()),
            seed,
            new RetryBounds(
                bounds.retryBudgetRatio(), bounds.retryWindowMicros(), bounds.retryBudgetSlack()),
            new QuotaBounds(
                bounds.quotaWindowMicros(), bounds.quotaOvershoot(), bounds.quotaSlack()));
    host.start(factory.create(settings));
    control.attach(host);
  }

  private void injectFault(Fault fault) {
    switch (fault.kind()) {
      case BACKEND_CRASH, BACKEND_DARK -> crashBackend(fault);
      case BACKEND_STALL -> backendOf(fault).stall(fault.forMicros());
      case BACKEND_RELEASE -> release(backendOf(fault));
      case DATA_PLANE_CRASH, DATA_PLANE_DARK -> crashHost(fault);
      case DATA_PLANE_FREEZE -> freezeHost(fault);
      case DATA_PLANE_JOIN -> addHost();
      case RESETS, LONG_BODIES, HOT_KEY, HOT_TENANT, BURST -> {
        // looked up in the windows where they matter
      }
      default -> throw new IllegalStateException("unknown fault");
    }
  }

  private SimulatedBackend backendOf(Fault fault) {
    return control.backends().get(fault.target() % control.backends().size());
  }

  private void crashBackend(Fault fault) {
    SimulatedBackend backend = backendOf(fault);
    if (backend.condition() != SimulatedBackend.Condition.UP) {
      return;
    }
    backend.stop(fault.kind() == Fault.Kind.BACKEND_DARK);
    control.expireSession(backend.id());
    loop.after(fault.forMicros(), () -> restart(backend));
  }

  private void restart(SimulatedBackend backend) {
    backend.restart();
    control.registerRestarted(backend);
  }

  private void release(SimulatedBackend backend) {
    if (backend.condition() != SimulatedBackend.Condition.UP) {
      return;
    }
    backend.drain();
    control.announceDraining(backend, backend::drainAcknowledged);
    loop.after(RELEASE_DRAIN_MICROS, () -> endRelease(backend));
  }

  private void endRelease(SimulatedBackend backend) {
    if (backend.openCalls() > 0) {
      loop.after(RELEASE_CHECK_MICROS, () -> endRelease(backend));
      return;
    }
    control.deregister(backend.id());
    backend.stop(false);
    loop.after(RELEASE_CHECK_MICROS, () -> restart(backend));
  }

  private void crashHost(Fault fault) {
    DataPlaneHost host = hosts.get(fault.target() % hosts.size());
    if (host.condition() != DataPlaneHost.Condition.UP) {
      return;
    }
    host.stop(fault.kind() == Fault.Kind.DATA_PLANE_DARK);
    ingress.conditionChanged(host);
    loop.after(
        fault.forMicros(),
        () -> {
          startHost(host);
          ingress.conditionChanged(host);
        });
  }

  private void freezeHost(Fault fault) {
    DataPlaneHost host = hosts.get(fault.target() % hosts.size());
    if (host.condition() != DataPlaneHost.Condition.UP) {
      return;
    }
    host.freeze();
    ingress.conditionChanged(host);
    loop.after(
        fault.forMicros(),
        () -> {
          host.thaw();
          ingress.conditionChanged(host);
        });
  }

  private void checkEnd() {
    for (DataPlaneHost host : hosts) {
      if (host.openExchanges() > 0) {
        checker.report(
            Rule.ANSWERS,
            host.openExchanges()
                + " requests without a final response at data plane "
                + host.index());
      }
    }
    for (ClientRequest request : requests) {
      if (!request.done()) {
        checker.report(
            Rule.ANSWERS,
            "a client still waits for the response of class " + request.requestClass().name());
      }
    }
    checker.checkWindows();
  }

  void begin(ClientRequest request) {
    requests.add(request);
    request.begin();
  }

  RequestTransmission newTransmission() {
    return transmissions.get();
  }

  String nextAttemptId() {
    return Long.toHexString(0x1000_0000L + attempts++);
  }

  void digest(long one, long two, long three) {
    digest = digest * 1_000_003 + one * 31 + two;
    digest = digest * 1_000_003 + three;
  }

  int tokensPerEvent(String service) {
    return plan.backends().stream()
        .filter(group -> group.service().equals(service))
        .findFirst()
        .orElseThrow()
        .engine()
        .tokensPerEvent();
  }

  WorldPlan plan() {
    return plan;
  }

  EventQueue loop() {
    return loop;
  }

  RuleChecker checker() {
    return checker;
  }

  SimulatedNetwork network() {
    return network;
  }

  SimulatedControl control() {
    return control;
  }

  Ingress ingress() {
    return ingress;
  }

  Measurements measurements() {
    return measurements;
  }
}
