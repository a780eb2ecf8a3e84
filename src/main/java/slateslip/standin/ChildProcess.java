package slateslip.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One program of the fleet, run as in service, with its log in a file. */
final class ChildProcess {
  private static final long END_SECONDS = 15;

  private final String name;
  private final Path log;
  private final Process process;

  private ChildProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  /** Starts a jar with a settings file; the log stands beside that file. */
  static ChildProcess start(Path jar, Path settings) throws IOException {
    String name = settings.getFileName().toString().replace(".conf", "");
    Path log = settings.resolveSibling(name + ".log");
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                java,
                "-Xmx160m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toString()));
    builder.environment().put("SLATESLIP_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    return new ChildProcess(name, log, builder.start());
  }

  String name() {
    return name;
  }

  boolean running() {
    return process.isAlive();
  }

  /** The end of its log. */
  String logEnd() {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
    } catch (IOException unreadable) {
      return "its log cannot be read: " + unreadable.getMessage();
    }
  }

  void askToEnd() {
    process.destroy();
  }

  /** Waits for its end, and kills it if that does not come. */
  void awaitEnd() throws InterruptedException {
    if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }
}
