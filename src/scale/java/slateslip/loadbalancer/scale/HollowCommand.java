package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import slateslip.loadbalancer.net.Discovery;

/**
 * Hollow agents in a process of their own, so that what they cost is measured apart. A control line
 * on standard input is a JSON object whose {@code do} names what to do; each gets one line in
 * answer. The process ends with {@code end} or with its input.
 */
@Command(
    name = "hollow",
    mixinStandardHelpOptions = true,
    description = "Hollow agents, told by JSON lines on standard input what to do.")
final class HollowCommand implements Callable<Integer> {
  private static final long NANOS_PER_MICRO = 1000;
  private static final int COLLECTIONS = 3;
  private static final Set<String> BEFORE_START = Set.of("start", "ping", "memory", "end");

  @Option(names = "--loops", defaultValue = "2", description = "Event loops that the agents share.")
  private int loops;

  private HollowFleet fleet;
  private long startedAt;

  @Override
  public Integer call() throws IOException {
    PrintStream out = System.out;
    try (var lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        ObjectNode answer = Json.MAPPER.createObjectNode();
        boolean end = false;
        try {
          JsonNode told = Json.read(line);
          end = told.path("do").asText().equals("end");
          obey(told, answer);
        } catch (IllegalArgumentException e) {
          answer.removeAll().put("error", String.valueOf(e.getMessage()));
        }
        out.println(answer);
        out.flush();
        if (end) {
          break;
        }
      }
    } finally {
      if (fleet != null) {
        fleet.close();
      }
    }
    return 0;
  }

  /** Does what a control line asks for. */
  void obey(JsonNode told, ObjectNode answer) {
    String what = told.path("do").asText();
    if (fleet == null && !BEFORE_START.contains(what)) {
      throw new IllegalArgumentException("do: " + what + " needs a start before it");
    }
    switch (what) {
      case "start" -> start(told, answer);
      case "expect" ->
          fleet
              .changeTimes()
              .expect(told.path("change").asInt(), told.path("fingerprint").asLong());
      case "when" -> answer.setAll((ObjectNode) Json.MAPPER.valueToTree(when(told)));
      case "settings" ->
          fleet.settings(
              told.path("number").asInt(),
              told.path("version").asLong(),
              (ObjectNode) told.get("config"));
      case "truth" -> truth(told);
      case "agree" -> answer.put("agree", fleet.agree(told.path("fingerprint").asLong()));
      case "report" -> report(answer);
      case "memory" -> memory(answer);
      case "ping" -> answer.put("ping", true);
      case "end" -> answer.put("end", true);
      default -> throw new IllegalArgumentException("do: " + what);
    }
  }

  private void start(JsonNode told, ObjectNode answer) {
    if (fleet != null) {
      throw new IllegalArgumentException("do: start was there before");
    }
    JsonNode load = told.path("load");
    int agents = told.path("agents").asInt();
    startedAt = System.nanoTime();
    fleet =
        new HollowFleet(
            new HollowFleet.Plan(
                agents,
                told.path("first").asInt(),
                told.path("of").asInt(agents),
                (ObjectNode) told.get("config"),
                mode(told),
                new HollowLoad(
                    load.path("per_second").asDouble(),
                    load.path("median_us").asLong(1),
                    load.path("sigma").asDouble()),
                told.path("spread_ms").asLong(),
                told.path("seed").asLong()),
            loops);
    answer.put("started", agents);
  }

  private ChangeTimes.Spread when(JsonNode told) {
    List<Long> made = new ArrayList<>();
    told.path("made_ns").forEach(each -> made.add(each.asLong()));
    ChangeTimes times =
        told.path("settings").asBoolean() ? fleet.settingsTimes() : fleet.changeTimes();
    return times.spread(told.path("first").asInt(), made);
  }

  private static FleetPlan.Mode mode(JsonNode told) {
    return FleetPlan.Mode.valueOf(told.path("mode").asText(FleetPlan.Mode.AUTOMATIC.name()));
  }

  private void truth(JsonNode told) {
    long at = told.path("at_ns").asLong() / NANOS_PER_MICRO;
    told.path("draining")
        .forEach(each -> fleet.truth().leaves(Discovery.id(each.asText()), at, false));
    told.path("gone").forEach(each -> fleet.truth().leaves(Discovery.id(each.asText()), at, true));
    told.path("back").forEach(each -> fleet.truth().returns(Discovery.id(each.asText())));
  }

  private void report(ObjectNode answer) {
    answer.setAll(fleet.counts().toJson());
    answer.put("open", fleet.open());
    answer.put("seconds", (System.nanoTime() - startedAt) / 1e9);
    answer.put("cpu_seconds", os().getProcessCpuTime() / 1e9);
  }

  /** The heap in use after collections: what the agents' state takes. */
  private static void memory(ObjectNode answer) {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    answer.put("heap_bytes", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
  }

  private static OperatingSystemMXBean os() {
    return (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  }
}
