package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * A {@link HollowCommand} as a child of this process, so that what hollow agents cost is measured
 * apart.
 */
final class HollowProcess implements AutoCloseable {
  private final Process process;
  private final BufferedReader replies;
  private final Writer commands;

  /**
   * Starts a process without agents.
   *
   * @param children sees to its end
   * @param heapMb what its heap may grow to
   * @param loops on which the agents run
   * @throws IOException if it cannot be started
   */
  HollowProcess(Children children, int heapMb, int loops) throws IOException {
    List<String> line =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + heapMb + "m",
            "-XX:+UseParallelGC",
            "-XX:ParallelGCThreads=2",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "hollow",
            "--loops",
            "" + loops);
    // Discovery's code of the agent says there when a watch times out: thousands of lines.
    process =
        children.start(new ProcessBuilder(line).redirectError(ProcessBuilder.Redirect.DISCARD));
    replies = process.inputReader(StandardCharsets.UTF_8);
    commands = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
  }

  long pid() {
    return process.pid();
  }

  /** Waits until the process is there and listens to its input. */
  void ping() throws IOException {
    ask(line("ping"));
  }

  /** Makes the agents; they begin over the plan's time. */
  void start(HollowFleet.Plan plan) throws IOException {
    ObjectNode line =
        line("start")
            .put("agents", plan.agents())
            .put("first", plan.first())
            .put("of", plan.of())
            .put("spread_ms", plan.spreadMs())
            .put("seed", plan.seed())
            .put("mode", plan.mode().name());
    line.set("config", plan.config());
    line.putObject("load")
        .put("per_second", plan.load().perSecond())
        .put("median_us", plan.load().medianMicros())
        .put("sigma", plan.load().sigma());
    ask(line);
  }

  /** Announces a change before it is made. */
  void expect(int change, long fingerprint) throws IOException {
    ask(line("expect").put("change", change).put("fingerprint", fingerprint));
  }

  /** When the agents had the changes, see {@link ChangeTimes#spread}. */
  ChangeTimes.Spread when(int first, List<Long> made) throws IOException {
    return when(line("when").put("first", first), made);
  }

  /** The same of versions of the settings. */
  ChangeTimes.Spread whenSettings(int first, List<Long> made) throws IOException {
    return when(line("when").put("first", first).put("settings", true), made);
  }

  private ChangeTimes.Spread when(ObjectNode line, List<Long> made) throws IOException {
    ArrayNode times = line.putArray("made_ns");
    made.forEach(times::add);
    return Json.MAPPER.convertValue(ask(line), ChangeTimes.Spread.class);
  }

  /** Gives all agents another version of the settings; answers before they have it. */
  void settings(int number, long version, ObjectNode common) throws IOException {
    ObjectNode line = line("settings").put("number", number).put("version", version);
    line.set("config", common);
    ask(line);
  }

  /** Tells which servers leave or return, as of when discovery has it and can be reached. */
  void truth(List<ServerEntry> changed, long atNanos) throws IOException {
    ObjectNode line = line("truth").put("at_ns", atNanos);
    ArrayNode draining = line.putArray("draining");
    ArrayNode gone = line.putArray("gone");
    ArrayNode back = line.putArray("back");
    for (ServerEntry each : changed) {
      (switch (each.status()) {
            case READY -> back;
            case TERMINATING -> draining;
            case GONE -> gone;
          })
          .add(each.name());
    }
    ask(line);
  }

  /** How many agents have the list with that fingerprint. */
  long agree(long fingerprint) throws IOException {
    return ask(line("agree").put("fingerprint", fingerprint)).path("agree").asLong();
  }

  /** What the agents have counted, and the process's time. */
  JsonNode report() throws IOException {
    return ask(line("report"));
  }

  /**
   * Heap in use after collections, in bytes. Takes some seconds where there are thousands of
   * agents.
   */
  long heapBytes() throws IOException {
    return ask(line("memory")).path("heap_bytes").asLong();
  }

  private static ObjectNode line(String what) {
    return Json.MAPPER.createObjectNode().put("do", what);
  }

  private synchronized JsonNode ask(ObjectNode line) throws IOException {
    commands.write(Json.line(line));
    commands.write('\n');
    commands.flush();
    String reply = replies.readLine();
    if (reply == null) {
      throw new IOException("the process of the hollow agents has ended");
    }
    JsonNode response = Json.read(reply);
    if (response.has("error")) {
      throw new IOException("hollow agents: " + response.get("error").asText());
    }
    return response;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
