package slateslip.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slateslip.eventloop.ProcessorTime;

/** One program of the fleet, run as in service, with its log in a file. */
public final class ChildProcess {
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
  public static ChildProcess start(Path jar, Path settings) throws IOException {
    return start(jar, settings, List.of());
  }

  /**
   * Starts a jar with a settings file, and with further options of its JVM. It runs in the folder
   * above the jar's, as in service: a class archive is only used where the jar is found by the path
   * that it was made with.
   */
  public static ChildProcess start(Path jar, Path settings, List<String> jvmOptions)
      throws IOException {
    Path folder = jar.toAbsolutePath().getParent();
    Path root = folder.getParent();
    String name = settings.getFileName().toString().replace(".conf", "");
    Path log = settings.resolveSibling(name + ".log").toAbsolutePath();
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> command = new ArrayList<>();
    command.addAll(List.of(java, "-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(jvmOptions);
    command.addAll(List.of("-jar", root.relativize(jar.toAbsolutePath()).toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(root.toFile());
    builder.environment().put("SLATESLIP_CONFIG", settings.toAbsolutePath().toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    return new ChildProcess(name, log, builder.start());
  }

  String name() {
    return name;
  }

  /** Whether it runs. */
  public boolean running() {
    return process.isAlive();
  }

  /** The end of its log. */
  public String logEnd() {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
    } catch (IOException unreadable) {
      return "its log cannot be read: " + unreadable.getMessage();
    }
  }

  /** Processor time that its threads have used so far; none once it has ended. */
  ProcessorTime processorTime() {
    return ProcessorTime.of(process.pid());
  }

  /** Sends SIGTERM. */
  public void askToEnd() {
    process.destroy();
  }

  /** Sends SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Sends SIGHUP. */
  public void reload() throws IOException {
    if (process.isAlive()) {
      new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start();
    }
  }

  /** Waits for its end; whether it came in time. */
  public boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Waits for its end, and kills it if that does not come. */
  void awaitEnd() throws InterruptedException {
    if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }
}
