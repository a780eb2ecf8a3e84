package slateslip.experiment;

import io.avaje.json.mapper.JsonMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.experiment.ExperimentRun.VariantResult;
import slateslip.simulation.dataplane.Measurements.Group;
import slateslip.simulation.dataplane.Measurements.GroupKey;

/**
 * Formats results as JSON lines, one line for each combination of variant, request class and
 * tenant.
 */
final class ResultLines {
  private ResultLines() {}

  static String format(String experiment, List<VariantResult> results) {
    JsonMapper mapper = JsonMapper.builder().build();
    StringBuilder lines = new StringBuilder();
    for (VariantResult result : results) {
      result
          .measurements()
          .groups()
          .forEach(
              (key, group) ->
                  lines
                      .append(mapper.toJson(fields(experiment, result.variant(), key, group)))
                      .append('\n'));
    }
    return lines.toString();
  }

  private static Map<String, Object> fields(
      String experiment, String variant, GroupKey key, Group group) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("experiment", experiment);
    fields.put("variant", variant);
    fields.put("class", key.requestClass());
    fields.put("tenant", key.tenant());
    fields.put("requests", group.total());
    fields.put("in_time", group.inTime());
    fields.put("late", group.late());
    fields.put("refused", group.refused());
    fields.put("failed", group.failed());
    fields.put("worth", group.valueFraction());
    fields.put("first_p50_us", group.firstMicros().getValueAtPercentile(50));
    fields.put("first_p95_us", group.firstMicros().getValueAtPercentile(95));
    fields.put("first_p99_us", group.firstMicros().getValueAtPercentile(99));
    fields.put("pause_p99_us", group.gapMicros().getValueAtPercentile(99));
    if (!Double.isNaN(group.cachedFraction())) {
      fields.put("kept", group.cachedFraction());
      fields.put("read_again_tokens", group.sharedTokensReadAgain());
    }
    return fields;
  }
}
