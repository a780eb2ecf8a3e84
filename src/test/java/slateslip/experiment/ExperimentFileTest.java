package slateslip.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.experiment.ExperimentFile.ReadResult;
import slateslip.simulation.dataplane.WorldPlan;

class ExperimentFileTest {
  private static final Path EXPERIMENTS = Path.of("src/experiments");

  @TempDir Path folder;

  @Test
  void committedExperimentsAreValid() throws IOException {
    try (Stream<Path> files = Files.list(EXPERIMENTS)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
        assertThat(file.toString(), ExperimentFile.read(file), instanceOf(ReadResult.Valid.class));
      }
    }
  }

  @Test
  void deploymentAndExperimentYieldOnePlanPerSeed() {
    ReadResult result = ExperimentFile.read(EXPERIMENTS.resolve("placement-trouble.json"));
    Experiment experiment = ((ReadResult.Valid) result).experiment();
    assertThat(experiment.plans().size(), is(6));
    WorldPlan plan = experiment.plans().get(2);
    assertThat(plan.seed(), is(3L));
    assertThat(plan.requestsPerSecond(), is(30.98 * 1.5));
    assertThat(plan.classes().get(0).sharedParts().get(0).things(), is(106));
    assertThat(plan.backends().get(0).engine().memoryTokens(), is(577_468L));
    assertThat(plan.faults().size(), is(4));
  }

  @Test
  void errorMessageNamesFileFieldAndReason() throws IOException {
    assertThat(
        errorMessage("\"seeds\": [1]", "\"seeds\": \"one\""),
        containsString("seeds is not a list"));
    assertThat(
        errorMessage("\"duration_s\": 1", "\"duration_s\": -1"),
        containsString("duration_s is not a number"));
    assertThat(
        errorMessage("\"choices\": 1", "\"choices\": 1.5"),
        containsString("variants[0].policy.choices is not a whole number"));
    assertThat(
        errorMessage("\"name\": \"small\"", "\"name\": \"\""),
        containsString("name is not a non-empty string"));
    assertThat(errorMessage("}]}", "}]"), containsString("is not JSON"));
    assertThat(errorMessage("hot_key", "cold_key"), containsString("faults[0].kind is none of"));
    assertThat(errorMessage("pv-slateslip.json", "missing.json"), containsString("cannot be read"));
  }

  @Test
  void resultLinesDoNotDependOnThreadCount() throws IOException {
    Path file = folder.resolve("small.json");
    Files.writeString(file, smallExperiment());
    Experiment experiment = ((ReadResult.Valid) ExperimentFile.read(file)).experiment();
    String one = ResultLines.format("small", ExperimentRun.run(experiment, 1));
    String two = ResultLines.format("small", ExperimentRun.run(experiment, 2));
    assertThat(two, equalTo(one));
    assertThat(one.lines().count() > 0, is(true));
  }

  @Test
  void commandWritesTableLinesAndPlot() throws IOException {
    Path file = folder.resolve("small.json");
    Files.writeString(file, smallExperiment());
    Path lines = folder.resolve("out.jsonl");
    Path plot = folder.resolve("out.svg");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int status = run(out, file.toString(), "--lines", lines.toString(), "--plot", plot.toString());
    assertThat(status, is(0));
    assertThat(out.toString(StandardCharsets.UTF_8), containsString("| first | all |"));
    assertThat(Files.readString(lines), containsString("\"class\":\"falla-vivo\""));
    assertThat(Files.readString(plot), containsString("<polyline"));
  }

  @Test
  void wrongUsageExitsWithTwo() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    assertThat(run(out), is(2));
    assertThat(run(out, "--nonsense"), is(2));
    assertThat(run(out, folder.resolve("none.json").toString()), is(2));
    assertThat(run(out, "--help"), is(0));
    assertThat(out.toString(StandardCharsets.UTF_8), containsString("usage: experiment FILE"));
  }

  private static int run(ByteArrayOutputStream out, String... arguments) throws IOException {
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    return ExperimentMain.run(arguments, stream, stream);
  }

  private String errorMessage(String part, String replacement) throws IOException {
    Path file = folder.resolve("wrong.json");
    Files.writeString(file, smallExperiment().replace(part, replacement));
    ReadResult result = ExperimentFile.read(file);
    assertThat(result, instanceOf(ReadResult.Invalid.class));
    return ((ReadResult.Invalid) result).message();
  }

  private static String smallExperiment() {
    String deployment =
        EXPERIMENTS.resolve("deployments/pv-slateslip.json").toAbsolutePath().toString();
    return String.join(
        "\n",
        List.of(
            "{\"name\": \"small\", \"deployment\": \"" + deployment + "\",",
            "\"seeds\": [1], \"duration_s\": 1,",
            "\"faults\": [{\"kind\": \"hot_key\", \"at_s\": 0, \"for_s\": 1, \"strength\": 0.5}],",
            "\"variants\": [{\"name\": \"first\", \"policy\": {\"choices\": 1}}]}"));
  }
}
