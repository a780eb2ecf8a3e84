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
        ObjectNode response = Json.MAPPER.createObjectNode();
        boolean end = false;
        try {
          JsonNode notified = Json.read(line);
          end = notified.path("do").asText().equals("end");
          obey(notified, response);
        } catch (IllegalArgumentException e) {
          response.removeAll().put("error", String.valueOf(e.getMessage()));
        }
        out.println(response);
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
  void obey(JsonNode notified, ObjectNode response) {
    String what = notified.path("do").asText();
    if (fleet == null && !BEFORE_START.contains(what)) {
      throw new IllegalArgumentException("do: " + what + " needs a start before it");
    }
    switch (what) {
      case "start" -> start(notified, response);
      case "expect" ->
          fleet
              .changeTimes()
              .expect(notified.path("change").asInt(), notified.path("fingerprint").asLong());
      case "when" -> response.setAll((ObjectNode) Json.MAPPER.valueToTree(when(notified)));
      case "settings" ->
          fleet.settings(
              notified.path("number").asInt(),
              notified.path("version").asLong(),
              (ObjectNode) notified.get("config"));
      case "truth" -> truth(notified);
      case "agree" -> response.put("agree", fleet.agree(notified.path("fingerprint").asLong()));
      case "report" -> report(response);
      case "memory" -> memory(response);
      case "ping" -> response.put("ping", true);
      case "end" -> response.put("end", true);
      default -> throw new IllegalArgumentException("do: " + what);
    }
  }

  private void start(JsonNode notified, ObjectNode response) {
    if (fleet != null) {
      throw new IllegalArgumentException("do: start was there before");
    }
    JsonNode load = notified.path("load");
    int agents = notified.path("agents").asInt();
    startedAt = System.nanoTime();
    fleet =
        new HollowFleet(
            new HollowFleet.Plan(
                agents,
                notified.path("first").asInt(),
                notified.path("of").asInt(agents),
                (ObjectNode) notified.get("config"),
                mode(notified),
                new HollowLoad(
                    load.path("per_second").asDouble(),
                    load.path("median_us").asLong(1),
                    load.path("sigma").asDouble()),
                notified.path("spread_ms").asLong(),
                notified.path("seed").asLong()),
            loops);
    response.put("started", agents);
  }

  private ChangeTimes.Spread when(JsonNode notified) {
    List<Long> made = new ArrayList<>();
    notified.path("made_ns").forEach(each -> made.add(each.asLong()));
    ChangeTimes times =
        notified.path("settings").asBoolean() ? fleet.settingsTimes() : fleet.changeTimes();
    return times.spread(notified.path("first").asInt(), made);
  }

  private static FleetPlan.Mode mode(JsonNode notified) {
    return FleetPlan.Mode.valueOf(notified.path("mode").asText(FleetPlan.Mode.AUTOMATIC.name()));
  }

  private void truth(JsonNode notified) {
    long at = notified.path("at_ns").asLong() / NANOS_PER_MICRO;
    notified
        .path("draining")
        .forEach(
            each -> fleet.truth().drainStartedAt(Discovery.stableId(each.asText()), at, false));
    notified
        .path("gone")
        .forEach(each -> fleet.truth().drainStartedAt(Discovery.stableId(each.asText()), at, true));
    notified.path("back").forEach(each -> fleet.truth().returns(Discovery.stableId(each.asText())));
  }

  private void report(ObjectNode response) {
    response.setAll(fleet.counts().toJson());
    response.put("open", fleet.open());
    response.put("seconds", (System.nanoTime() - startedAt) / 1e9);
    response.put("cpu_seconds", os().getProcessCpuTime() / 1e9);
  }

  /** The heap in use after collections: what the agents' state takes. */
  private static void memory(ObjectNode response) {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    response.put("heap_bytes", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
  }

  private static OperatingSystemMXBean os() {
    return (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  }
}
