package slateslip.loadbalancer.scale;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Plays the experiment that a file describes: one JSON line an interval on standard output, then
 * tables. Exit code 2 for a file that cannot be played, 1 for a run that failed.
 */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description =
        "Plays the experiment that a JSON file describes; its key experiment says of which kind.")
public class RunCommand implements Callable<Integer> {
  private static final Map<String, Function<Keys, Experiment>> KINDS =
      new TreeMap<>(
          Map.of(
              "latency",
              LatencyExperiment::new,
              "slopes",
              SlopesExperiment::new,
              "watchers",
              WatchersExperiment::new,
              "fleet",
              FleetExperiment::new,
              "control",
              ControlExperiment::new,
              "likeness",
              LikenessExperiment::new));

  @Parameters(paramLabel = "FILE", description = "the experiment")
  private Path file;

  @Spec private CommandSpec spec;

  /** The command {@code latency FILE}. */
  @Command(
      name = "latency",
      mixinStandardHelpOptions = true,
      description =
          "Measures the time that agents add to a call, beside the same calls to the backends.")
  public static final class Latency extends RunCommand {}

  /** The command {@code slopes FILE}. */
  @Command(
      name = "slopes",
      mixinStandardHelpOptions = true,
      description = "Measures what control costs an agent against the number of servers listed.")
  public static final class Slopes extends RunCommand {}

  @Override
  public Integer call() {
    Experiment experiment;
    try {
      experiment = read(Keys.read(file), spec.name());
    } catch (BadExperiment e) {
      System.err.println("slateslip-scale: " + e.getMessage());
      return 2;
    }
    return play(experiment);
  }

  /** Reads an experiment of the kind that the command names; of any kind for {@code run}. */
  static Experiment read(Keys keys, String command) {
    String kind = keys.text("experiment", null);
    Function<Keys, Experiment> of = KINDS.get(kind);
    if (of == null || (KINDS.containsKey(command) && !command.equals(kind))) {
      Set<String> known = KINDS.containsKey(command) ? Set.of(command) : KINDS.keySet();
      throw keys.bad("experiment", "is none of " + known + ": " + kind);
    }
    Experiment experiment = of.apply(keys);
    keys.end();
    return experiment;
  }

  static int play(Experiment experiment) {
    Report report = new Report(System.out);
    ExecutorService player =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "player");
              thread.setDaemon(true);
              return thread;
            });
    try (Children children = new Children()) {
      player
          .submit(
              () -> {
                experiment.play(report, children);
                return null;
              })
          .get(experiment.limitSeconds(), TimeUnit.SECONDS);
      return 0;
    } catch (TimeoutException e) {
      System.err.println(
          "slateslip-scale: not done after " + experiment.limitSeconds() + " s, ended");
    } catch (ExecutionException e) {
      System.err.println("slateslip-scale: " + e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 1;
  }
}
