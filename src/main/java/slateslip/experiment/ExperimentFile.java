package slateslip.experiment;

import io.avaje.json.JsonException;
import io.avaje.json.mapper.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import slateslip.configuration.RouteKind;
import slateslip.experiment.Experiment.Variant;
import slateslip.experiment.policy.PlacementPolicy;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.simulation.dataplane.Fault;
import slateslip.simulation.dataplane.RequestClass;
import slateslip.simulation.dataplane.RequestClass.SharedPart;
import slateslip.simulation.dataplane.RequestClass.Size;
import slateslip.simulation.dataplane.WorldPlan;
import slateslip.simulation.dataplane.WorldPlan.BackendGroup;
import slateslip.simulation.dataplane.WorldPlan.Bounds;
import slateslip.simulation.dataplane.WorldPlan.NetworkPlan;
import slateslip.simulation.dataplane.WorldPlan.TenantPlan;
import slateslip.simulation.engine.EngineParameters;

/**
 * Reads an experiment file and the deployment file that the experiment names. Both files are JSON.
 */
public final class ExperimentFile {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  private ExperimentFile() {}

  /** Result of reading an experiment file. */
  public sealed interface ReadResult {
    /** The files are valid and describe this experiment. */
    record Valid(Experiment experiment) implements ReadResult {}

    /**
     * One of the files is invalid. The message names the file, the invalid field and the reason.
     */
    record Invalid(String message) implements ReadResult {}
  }

  /**
   * Reads an experiment file. The path of the deployment file is relative to the folder of the
   * experiment file.
   */
  public static ReadResult read(Path file) {
    try {
      ExperimentFields fields = parse(file);
      Path deploymentFile = file.resolveSibling(fields.text("deployment"));
      return new ReadResult.Valid(experiment(fields, deployment(deploymentFile)));
    } catch (ExperimentFields.InvalidFieldException invalid) {
      return new ReadResult.Invalid(file + ": " + invalid.getMessage());
    }
  }

  private static ExperimentFields parse(Path file) throws ExperimentFields.InvalidFieldException {
    try {
      Map<String, Object> values =
          JsonMapper.builder().build().fromJsonObject(Files.readString(file));
      return new ExperimentFields("", values);
    } catch (IOException unreadable) {
      throw new ExperimentFields.InvalidFieldException(
          file.toString(), "cannot be read: " + unreadable);
    } catch (JsonException malformed) {
      throw new ExperimentFields.InvalidFieldException(
          file.toString(), "is not JSON: " + malformed.getMessage());
    }
  }

  private static Experiment experiment(ExperimentFields fields, WorldPlan deployment)
      throws ExperimentFields.InvalidFieldException {
    double load = fields.number("load", 1);
    List<Fault> faults = new ArrayList<>();
    for (ExperimentFields fault : fields.objects("faults")) {
      faults.add(fault(fault));
    }
    List<WorldPlan> plans = new ArrayList<>();
    for (long seed : fields.integers("seeds")) {
      plans.add(
          new WorldPlan(
              seed,
              Math.round(fields.number("duration_s") * MICROS_PER_SECOND),
              deployment.zones(),
              deployment.dataPlanes(),
              deployment.requestsPerSecond() * load,
              deployment.classes(),
              deployment.backends(),
              deployment.tenants(),
              deployment.network(),
              deployment.bounds(),
              faults));
    }
    if (plans.isEmpty()) {
      throw fields.invalidField("seeds", "is missing or an empty list");
    }
    return new Experiment(fields.text("name"), plans, variants(fields));
  }

  private static List<Variant> variants(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    List<Variant> variants = new ArrayList<>();
    for (ExperimentFields variant : fields.objects("variants")) {
      PlacementPolicy policy = variant.has("policy") ? policy(variant.object("policy")) : null;
      variants.add(new Variant(variant.text("name"), policy, mechanisms(variant)));
    }
    if (variants.isEmpty()) {
      throw fields.invalidField("variants", "is missing or an empty list");
    }
    return variants;
  }

  private static RoutingPolicy mechanisms(ExperimentFields variant)
      throws ExperimentFields.InvalidFieldException {
    String disabled = variant.text("disabled", "");
    String parameters = variant.text("parameters", "");
    try {
      return RoutingPolicy.of(disabled, parameters);
    } catch (IllegalArgumentException unknown) {
      throw variant.invalidField("disabled or parameters", "is invalid: " + unknown.getMessage());
    }
  }

  private static PlacementPolicy policy(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    return new PlacementPolicy(
        fields.flag("own_zone_only", false),
        fields.integer("choices"),
        fields.number("other_zone_millis", 0),
        fields.number("reading_weight", 1),
        fields.integer("assumed_kept", 0),
        fields.number("pending_weight", 0),
        fields.number("waiting_millis", 0),
        fields.number("running_millis", 0),
        fields.number("bound_factor", 0));
  }

  private static Fault fault(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    return new Fault(
        enumConstant(fields, "kind", Fault.Kind.class),
        Math.round(fields.number("at_s") * MICROS_PER_SECOND),
        Math.round(fields.number("for_s", 0) * MICROS_PER_SECOND),
        fields.integer("target", 0),
        fields.number("strength", 0));
  }

  private static WorldPlan deployment(Path file) throws ExperimentFields.InvalidFieldException {
    ExperimentFields fields = parse(file);
    List<RequestClass> classes = new ArrayList<>();
    for (ExperimentFields requestClass : fields.objects("classes")) {
      classes.add(requestClass(requestClass));
    }
    List<BackendGroup> backends = new ArrayList<>();
    for (ExperimentFields group : fields.objects("backends")) {
      backends.add(backendGroup(group));
    }
    List<TenantPlan> tenants = new ArrayList<>();
    for (ExperimentFields tenant : fields.objects("tenants")) {
      tenants.add(new TenantPlan(tenant.number("share"), tenant.number("tokens_per_second", 0)));
    }
    ExperimentFields network = fields.object("network");
    return new WorldPlan(
        0,
        0,
        fields.integer("zones"),
        fields.integer("data_planes"),
        fields.number("requests_per_second"),
        classes,
        backends,
        tenants,
        new NetworkPlan(
            micros(network, "in_zone_ms"),
            micros(network, "cross_zone_ms"),
            micros(network, "client_ms")),
        Bounds.STANDARD,
        List.of());
  }

  private static long micros(ExperimentFields fields, String name)
      throws ExperimentFields.InvalidFieldException {
    return Math.round(fields.number(name) * MICROS_PER_MILLI);
  }

  private static BackendGroup backendGroup(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    EngineParameters engine = fields.has("engine") ? engine(fields.object("engine")) : null;
    return new BackendGroup(
        fields.text("service"),
        fields.integer("count"),
        engine,
        fields.integer("slots", 0),
        fields.integer("queue", 0));
  }

  private static EngineParameters engine(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    return new EngineParameters(
        fields.integer("slots"),
        fields.integer("queue"),
        fields.integer("memory_tokens"),
        fields.integer("block_tokens"),
        fields.number("step_ms"),
        fields.number("step_ms_per_request"),
        fields.number("context_ms_per_thousand"),
        fields.number("prefill_tokens_per_ms"),
        fields.number("pairs_ms_per_million"),
        fields.number("first_token_ms"),
        fields.integer("prefill_chunk_tokens"),
        fields.integer("tokens_per_event"));
  }

  private static RequestClass requestClass(ExperimentFields fields)
      throws ExperimentFields.InvalidFieldException {
    List<SharedPart> parts = new ArrayList<>();
    for (ExperimentFields part : fields.objects("shared_parts")) {
      parts.add(
          new SharedPart(size(part, "tokens"), part.integer("things"), part.number("skew", 0)));
    }
    return new RequestClass(
        fields.text("name"),
        fields.text("service"),
        enumConstant(fields, "kind", RouteKind.class),
        fields.flag("resumable", false),
        fields.integer("target_latency_ms"),
        fields.integer("gap_aim_ms", 0),
        fields.integer("deadline_ms"),
        fields.integer("timeout_ms"),
        fields.integer("priority"),
        fields.integer("max_attempts"),
        fields.integer("retries"),
        fields.number("share"),
        fields.number("worth"),
        fields.number("late_worth"),
        parts,
        size(fields, "own_tokens"),
        size(fields, "output_events"),
        size(fields, "work_ms"),
        fields.number("error_share", 0));
  }

  private static Size size(ExperimentFields fields, String name)
      throws ExperimentFields.InvalidFieldException {
    if (!fields.has(name)) {
      return Size.NONE;
    }
    ExperimentFields size = fields.object(name);
    return new Size(size.number("mean"), size.number("spread"), size.number("max"));
  }

  private static <T extends Enum<T>> T enumConstant(
      ExperimentFields fields, String name, Class<T> type)
      throws ExperimentFields.InvalidFieldException {
    String text = fields.text(name).toUpperCase(Locale.ROOT);
    for (T constant : type.getEnumConstants()) {
      if (constant.name().equals(text)) {
        return constant;
      }
    }
    throw fields.invalidField(name, "is none of " + List.of(type.getEnumConstants()));
  }
}
