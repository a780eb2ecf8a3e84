package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.configuration.RouteKind;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.simulation.dataplane.ClientRequest.RequestDraw;

/** Generates the requests of the clients: draws arrival times, classes, tenants and sizes. */
final class Traffic {
  /** Share of clients that retry immediately, whatever delay a response asks for. */
  private static final double IMPATIENT_SHARE = 0.04;

  private final DataPlaneWorld world;
  private final WorldPlan plan;
  private final FaultWindows windows;
  private final SplittableRandom random;
  private long ownParts;

  Traffic(DataPlaneWorld world, FaultWindows windows) {
    this.world = world;
    this.plan = world.plan();
    this.windows = windows;
    this.random = new SplittableRandom(plan.seed() ^ 0x5452_4146L);
  }

  void begin() {
    scheduleNext();
  }

  private void scheduleNext() {
    double perSecond = plan.requestsPerSecond() * burst() * tenantFactor();
    long delay = Math.max(1, (long) (random.nextExponential() / perSecond * 1e6));
    if (world.loop().nowMicros() + delay > plan.durationMicros()) {
      return;
    }
    world
        .loop()
        .after(
            delay,
            () -> {
              world.begin(next());
              scheduleNext();
            });
  }

  private double burst() {
    return Math.max(1, windows.strength(Fault.Kind.BURST));
  }

  private double tenantFactor() {
    double weights = 0;
    double usual = 0;
    for (int i = 0; i < plan.tenants().size(); i++) {
      weights += tenantWeight(i);
      usual += plan.tenants().get(i).share();
    }
    return weights / usual;
  }

  private double tenantWeight(int index) {
    double factor = Math.max(1, windows.strength(Fault.Kind.HOT_TENANT, index));
    return plan.tenants().get(index).share() * factor;
  }

  private ClientRequest next() {
    int classIndex = drawClass();
    RequestClass requestClass = plan.classes().get(classIndex);
    boolean engine = requestClass.kind() == RouteKind.STREAMING;
    long events = engine ? Math.max(1, Math.round(draw(requestClass.outputEvents()))) : 1;
    int stride = engine ? world.tokensPerEvent(requestClass.service()) : 1;
    RequestDraw draw =
        new RequestDraw(
            random.nextInt(plan.zones()),
            drawTenant(),
            engine ? prompt(classIndex, requestClass) : List.of(),
            (int) events * stride,
            events,
            Math.max(1, Math.round(1_000 * draw(requestClass.workMillis()))),
            random.nextDouble() < requestClass.errorShare(),
            random.nextDouble() >= IMPATIENT_SHARE);
    return new ClientRequest(world, requestClass, draw);
  }

  private double draw(RequestClass.Size size) {
    return size.draw(random.nextGaussian());
  }

  private int drawClass() {
    double total = plan.classes().stream().mapToDouble(RequestClass::share).sum();
    double drawn = random.nextDouble() * total;
    for (int i = 0; i < plan.classes().size(); i++) {
      drawn -= plan.classes().get(i).share();
      if (drawn < 0) {
        return i;
      }
    }
    return plan.classes().size() - 1;
  }

  private int drawTenant() {
    double total = 0;
    for (int i = 0; i < plan.tenants().size(); i++) {
      total += tenantWeight(i);
    }
    double drawn = random.nextDouble() * total;
    for (int i = 0; i < plan.tenants().size(); i++) {
      drawn -= tenantWeight(i);
      if (drawn < 0) {
        return i;
      }
    }
    return plan.tenants().size() - 1;
  }

  private List<PromptPart> prompt(int classIndex, RequestClass requestClass) {
    List<PromptPart> prompt = new ArrayList<>();
    List<RequestClass.SharedPart> shared = requestClass.sharedParts();
    if (!shared.isEmpty()) {
      int thing = drawSharedVariant(classIndex, shared.get(shared.size() - 1));
      for (int level = 0; level < shared.size(); level++) {
        prompt.add(sharedPart(classIndex, level, thing % shared.get(level).things(), shared));
      }
    }
    int own = (int) Math.max(1, Math.round(draw(requestClass.ownTokens())));
    prompt.add(new PromptPart(-1 - ownParts++, own));
    return prompt;
  }

  private int drawSharedVariant(int classIndex, RequestClass.SharedPart part) {
    if (random.nextDouble() < windows.strength(Fault.Kind.HOT_KEY, classIndex)) {
      return 0;
    }
    double total = 0;
    for (int i = 0; i < part.things(); i++) {
      total += Math.pow(i + 1, -part.skew());
    }
    double drawn = random.nextDouble() * total;
    for (int i = 0; i < part.things(); i++) {
      drawn -= Math.pow(i + 1, -part.skew());
      if (drawn < 0) {
        return i;
      }
    }
    return part.things() - 1;
  }

  /** Returns a shared part; its length depends only on the plan's seed and the part's id. */
  private PromptPart sharedPart(
      int classIndex, int level, int thing, List<RequestClass.SharedPart> shared) {
    long id = ((classIndex + 1L) << 40) | ((long) level << 32) | thing;
    SplittableRandom ofThing = new SplittableRandom(plan.seed() ^ id);
    double tokens = shared.get(level).tokens().draw(ofThing.nextGaussian());
    return new PromptPart(id, (int) Math.max(1, Math.round(tokens)));
  }
}
