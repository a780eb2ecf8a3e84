package slateslip.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses routes. A route names one service or a list of services with weights, which may be
 * fractions.
 */
final class RouteFormat implements ItemFormat<Route> {
  private static final int DEFAULT_ATTEMPTS = 1;
  private static final long DEFAULT_TARGET_LATENCY_MILLIS = 1_000;
  private static final double FRACTION_SCALE = 10_000;

  private record Target(String service, double weight) {}

  private static final class Draft {
    private String name;
    private String hostname;
    private String pathPrefix;
    private RouteKind kind = RouteKind.NON_IDEMPOTENT;
    private long timeoutMillis;
    private long targetLatencyMillis = DEFAULT_TARGET_LATENCY_MILLIS;
    private int priority;
    private String service;
    private List<Target> split = List.of();
    private int maxAttempts = DEFAULT_ATTEMPTS;
    private boolean isPublic;
    private boolean sticky;
    private boolean resumable;
    private long targetGapMillis;
  }

  @Override
  public String name(Route route) {
    return route.name();
  }

  @Override
  public Route read(FieldReader fields) {
    Draft draft = new Draft();
    while (fields.nextField()) {
      readField(draft, fields);
    }
    check(draft, fields);
    return new Route(
        draft.name,
        draft.hostname,
        draft.pathPrefix,
        draft.kind,
        draft.timeoutMillis,
        draft.targetLatencyMillis,
        draft.priority,
        targets(draft),
        Math.max(1, draft.maxAttempts),
        draft.isPublic,
        draft.sticky,
        draft.resumable,
        draft.targetGapMillis);
  }

  private static void readField(Draft draft, FieldReader fields) {
    switch (fields.field()) {
      case "name" -> draft.name = fields.text();
      case "hostname" -> draft.hostname = fields.text();
      case "path_prefix" -> draft.pathPrefix = fields.text();
      case "kind" -> draft.kind = kind(fields.text());
      case "timeout_ms" -> draft.timeoutMillis = fields.count(0);
      case "target_latency_ms" ->
          draft.targetLatencyMillis = fields.count(DEFAULT_TARGET_LATENCY_MILLIS);
      case "priority" -> draft.priority = fields.intCount(0);
      case "service" -> draft.service = fields.text();
      case "traffic_split" -> draft.split = split(fields);
      case "max_attempts" -> draft.maxAttempts = fields.intCount(DEFAULT_ATTEMPTS);
      case "public" -> draft.isPublic = fields.flag(false);
      case "sticky" -> draft.sticky = fields.flag(false);
      case "resumable" -> draft.resumable = fields.flag(false);
      case "gap_aim_ms" -> draft.targetGapMillis = fields.count(0);
      default -> fields.skip();
    }
  }

  /**
   * Returns the kind of a name. An unknown kind is treated as {@link RouteKind#NON_IDEMPOTENT},
   * which allows the fewest retries.
   */
  private static RouteKind kind(String name) {
    return switch (name == null ? "" : name) {
      case "idempotent" -> RouteKind.IDEMPOTENT;
      case "streaming" -> RouteKind.STREAMING;
      default -> RouteKind.NON_IDEMPOTENT;
    };
  }

  private static List<Target> split(FieldReader fields) {
    List<Target> targets = new ArrayList<>();
    if (!fields.beginArray()) {
      return targets;
    }
    while (fields.nextElement()) {
      if (fields.beginObject()) {
        targets.add(target(fields));
      }
    }
    return targets;
  }

  private static Target target(FieldReader fields) {
    String service = null;
    double weight = 0;
    while (fields.nextField()) {
      switch (fields.field()) {
        case "service" -> service = fields.text();
        case "weight" -> weight = fields.number(0);
        default -> fields.skip();
      }
    }
    if (service == null) {
      fields.report("traffic_split", "has an entry without a service");
    }
    if (weight < 0) {
      fields.report("traffic_split", "has a weight below 0");
    }
    return new Target(service, weight);
  }

  private static void check(Draft draft, FieldReader fields) {
    if (draft.hostname == null || draft.hostname.isEmpty()) {
      fields.report("hostname", "is missing");
    }
    if (draft.pathPrefix == null) {
      fields.report("path_prefix", "is missing");
    } else if (!draft.pathPrefix.startsWith("/") || !draft.pathPrefix.endsWith("/")) {
      fields.report("path_prefix", "does not start and end with a slash");
    }
    if (draft.timeoutMillis <= 0) {
      fields.report("timeout_ms", "is 0 or missing");
    }
    if (draft.service == null && draft.split.isEmpty()) {
      fields.report("service", "is missing, and so is traffic_split");
    }
    if (!draft.split.isEmpty() && draft.split.stream().mapToDouble(Target::weight).sum() <= 0) {
      fields.report("traffic_split", "has weights that add up to 0");
    }
  }

  private static List<Route.WeightedService> targets(Draft draft) {
    if (draft.split.isEmpty()) {
      return List.of(new Route.WeightedService(draft.service, 1));
    }
    double scale = draft.split.stream().allMatch(RouteFormat::isInteger) ? 1 : scale(draft.split);
    List<Route.WeightedService> targets = new ArrayList<>(draft.split.size());
    for (Target target : draft.split) {
      int weight = (int) Math.ceil(target.weight() * scale);
      targets.add(new Route.WeightedService(target.service(), weight));
    }
    return targets;
  }

  private static boolean isInteger(Target target) {
    return target.weight() == Math.rint(target.weight()) && target.weight() <= FRACTION_SCALE;
  }

  /** Returns the factor that scales the largest weight to {@link #FRACTION_SCALE}. */
  private static double scale(List<Target> split) {
    double largest = split.stream().mapToDouble(Target::weight).max().orElse(1);
    return largest > 0 ? FRACTION_SCALE / largest : 1;
  }
}
