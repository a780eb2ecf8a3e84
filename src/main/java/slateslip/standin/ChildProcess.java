package slateslip.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slateslip.eventloop.ProcessorTime;

/**
 * A child process that runs one program of the fleet from its jar, as in production. The output of
 * the process is appended to a log file.
 */
public final class ChildProcess {
  private static final long EXIT_TIMEOUT_SECONDS = 15;

  private final String name;
  private final Path log;
  private final Process process;

  private ChildProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  /** Starts a jar with a settings file. The log file is in the folder of the settings file. */
  public static ChildProcess start(Path jar, Path settings) throws IOException {
    return start(jar, settings, List.of());
  }

  /**
   * Starts a jar with a settings file and with additional JVM options. The working directory is the
   * parent of the jar's folder, as in production, because the JVM uses a class data sharing archive
   * only if the path of the jar equals the path with which the archive was created.
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

  /** Returns whether the process is alive. */
  public boolean isRunning() {
    return process.isAlive();
  }

  /** Returns the last ten lines of the log, or an error description if the log cannot be read. */
  public String logTail() {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
    } catch (IOException unreadable) {
      return "the log cannot be read: " + unreadable.getMessage();
    }
  }

  /**
   * Returns the processor time that the threads of the process have used so far, or zero if the
   * process has exited.
   */
  ProcessorTime processorTime() {
    return ProcessorTime.of(process.pid());
  }

  /** Sends SIGTERM to the process and returns immediately. */
  public void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL to the process and returns immediately. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Sends SIGHUP to the process if it is alive, so that the program reloads its settings. */
  public void reload() throws IOException {
    if (process.isAlive()) {
      new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start();
    }
  }

  /**
   * Waits until the process exits or the given time in milliseconds has passed. Returns whether the
   * process has exited.
   */
  public boolean awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Waits until the process exits, and kills the process if it has not exited after 15 seconds. */
  void awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }
}
