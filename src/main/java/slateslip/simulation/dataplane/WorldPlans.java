package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.IngressLimits;
import slateslip.configuration.Route;
import slateslip.configuration.RouteKind;
import slateslip.configuration.Service;
import slateslip.configuration.Tenant;
import slateslip.simulation.dataplane.WorldPlan.BackendGroup;
import slateslip.simulation.dataplane.WorldPlan.Bounds;
import slateslip.simulation.dataplane.WorldPlan.NetworkPlan;
import slateslip.simulation.dataplane.WorldPlan.TenantPlan;
import slateslip.simulation.engine.EngineParameters;

/** Names and fleet configuration of simulated runs, and generators of random plans. */
public final class WorldPlans {
  static final String HOST = "world.example";
  static final long UNCACHED_TOKENS = 200;

  private static final String ENGINES = "engines";
  private static final String LEDGER = "ledger";
  private static final long SECOND = 1_000_000;
  private static final long DURATION_MICROS = 10 * SECOND;
  private static final int MAX_FAULTS = 8;

  /**
   * Kinds of faults from which every random schedule draws; stalls and long bodies have their own
   * plans.
   */
  private static final List<Fault.Kind> KINDS =
      Stream.of(Fault.Kind.values())
          .filter(kind -> kind != Fault.Kind.BACKEND_STALL && kind != Fault.Kind.LONG_BODIES)
          .toList();

  private WorldPlans() {}

  static String zoneName(int zone) {
    return "zone-" + (char) ('a' + zone);
  }

  static String tenantName(int index) {
    return "tenant-" + index;
  }

  static String key(int tenant) {
    return "key-" + tenant;
  }

  static String path(RequestClass requestClass) {
    return "/" + requestClass.name() + "/ask";
  }

  /** Returns the fleet configuration that corresponds to a plan. */
  static FleetConfiguration configuration(WorldPlan plan) {
    List<Route> routes = plan.classes().stream().map(WorldPlans::route).toList();
    List<Service> services = plan.backends().stream().map(WorldPlans::service).toList();
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < plan.tenants().size(); i++) {
      double quota = plan.tenants().get(i).tokensPerSecond();
      tenants.add(
          new Tenant(tenantName(i), List.of(key(i)), -1, true, UNCACHED_TOKENS, quota, quota));
    }
    return new FleetConfiguration(1, routes, services, IngressLimits.DEFAULT, tenants);
  }

  private static Route route(RequestClass requestClass) {
    return new Route(
        requestClass.name(),
        HOST,
        "/" + requestClass.name() + "/",
        requestClass.kind(),
        requestClass.timeoutMillis(),
        requestClass.targetLatencyMillis(),
        requestClass.priority(),
        List.of(new Route.WeightedService(requestClass.service(), 1)),
        requestClass.maxAttempts(),
        false,
        requestClass.kind() == RouteKind.STREAMING,
        requestClass.resumable(),
        requestClass.targetGapMillis());
  }

  private static Service service(BackendGroup group) {
    EngineParameters engine = group.engine();
    return new Service(
        group.service(),
        "/health",
        360,
        engine == null
            ? null
            : new Service.Engine(engine.slots(), engine.memoryTokens(), engine.tokensPerEvent()));
  }

  /** Returns a small plan with random faults; the seed determines the complete plan. */
  public static WorldPlan random(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int dataPlanes = 1 + random.nextInt(4);
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < count; i++) {
      faults.add(fault(random));
    }
    EngineParameters small = EngineParameters.DENSE_70B.withCapacity(8, 16, 60_000);
    return new WorldPlan(
        seed,
        DURATION_MICROS,
        3,
        dataPlanes,
        70,
        SmallRequestClasses.of(ENGINES, LEDGER),
        List.of(
            new BackendGroup(ENGINES, 3, small, 0, 0), new BackendGroup(LEDGER, 3, null, 4, 12)),
        List.of(new TenantPlan(1, 0), new TenantPlan(1, 20_000), new TenantPlan(0.5, 8_000)),
        new NetworkPlan(200, 900, 1_000),
        new Bounds(2 * SECOND, 0.2, 10 * SECOND, 52, 8 * SECOND, 0.1, 8_000),
        faults);
  }

  /** Returns a small plan in which backends stall repeatedly, in addition to random faults. */
  public static WorldPlan randomStalls(long seed) {
    SplittableRandom random = new SplittableRandom(~seed);
    WorldPlan plan = random(seed);
    List<Fault> faults = new ArrayList<>(plan.faults());
    int stalls = 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < stalls; i++) {
      faults.add(fault(random, Fault.Kind.BACKEND_STALL));
    }
    return plan.withFaults(faults);
  }

  /**
   * Returns a small plan with request bodies that take long to send, and with backend crashes in
   * addition to random faults.
   */
  public static WorldPlan randomLongBodies(long seed) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x4c4f_4e47L);
    WorldPlan plan = random(seed);
    List<Fault> faults = new ArrayList<>(plan.faults());
    int periods = 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < periods; i++) {
      faults.add(fault(random, Fault.Kind.LONG_BODIES));
      faults.add(fault(random, Fault.Kind.BACKEND_CRASH));
    }
    return plan.withFaults(faults);
  }

  private static Fault fault(SplittableRandom random) {
    return fault(random, KINDS.get(random.nextInt(KINDS.size())));
  }

  private static Fault fault(SplittableRandom random, Fault.Kind kind) {
    long atMicros = random.nextLong(SECOND / 2, DURATION_MICROS - SECOND);
    long forMicros = random.nextLong(SECOND / 5, 4 * SECOND);
    int target = random.nextInt(6);
    double strength =
        switch (kind) {
          case RESETS, LONG_BODIES -> 0.1 + 0.8 * random.nextDouble();
          case HOT_KEY -> 0.2 + 0.5 * random.nextDouble();
          case HOT_TENANT -> 3 + 9 * random.nextDouble();
          case BURST -> 1.5 + 2 * random.nextDouble();
          default -> 0;
        };
    int bounded = kind == Fault.Kind.HOT_TENANT ? target % 3 : target;
    return new Fault(kind, atMicros, forMicros, bounded, strength);
  }
}
